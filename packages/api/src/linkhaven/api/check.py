from functools import lru_cache
from importlib import resources

import yaml

from .errors import ServiceError


@lru_cache(maxsize=1)
def read_schema():
    text = resources.files("linkhaven.api").joinpath("linkhaven.yaml").read_text()
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    return yaml.load(text, loader)


@lru_cache(maxsize=64)
def _validator(name):
    from jsonschema import Draft202012Validator  # a fifth of a start; many processes check nothing

    schema = read_schema()
    return Draft202012Validator(
        {"$ref": f"#/components/schemas/{name}", "components": schema["components"]}
    )


def list_complaints(name, document):
    complaints = []
    for fault in _validator(name).iter_errors(document):
        place = "/".join(str(part) for part in fault.absolute_path) or "."
        complaints.append({"place": place, "fault": fault.message[:200]})
    return complaints


def check_document(name, document):
    complaints = list_complaints(name, document)
    if complaints:
        raise ServiceError("bad_request", places=complaints)
    return document
