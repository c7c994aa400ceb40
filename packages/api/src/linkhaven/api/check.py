"""Validates documents by the schemas of the OpenAPI file, `linkhaven.yaml`."""

from functools import lru_cache
from importlib import resources
from typing import Any

import yaml

from .errors import ServiceError

MAX_FAULT_CHARACTERS = 200
"""The text of a fault is cut to this length, as it may quote the document."""

MAX_CACHED_VALIDATORS = 64
"""More than the number of schemas in the file."""


@lru_cache(maxsize=1)
def read_schema() -> dict[str, Any]:
    """Return the OpenAPI file of the native API as a document."""
    text = resources.files("linkhaven.api").joinpath("linkhaven.yaml").read_text()
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    schema: dict[str, Any] = yaml.load(text, loader)
    return schema


@lru_cache(maxsize=MAX_CACHED_VALIDATORS)
def _validator(name: str) -> Any:
    # Imported here, as the import takes a fifth of the start time of a process, and many processes
    # never validate a document.
    from jsonschema import Draft202012Validator

    schema = read_schema()
    return Draft202012Validator(
        {"$ref": f"#/components/schemas/{name}", "components": schema["components"]}
    )


def list_faults(name: str, document: Any) -> list[dict[str, str]]:
    """Return every violation of the schema `name`: its `place`, a path, and the `fault`."""
    faults = []
    for error in _validator(name).iter_errors(document):
        place = "/".join(str(part) for part in error.absolute_path) or "."
        faults.append({"place": place, "fault": error.message[:MAX_FAULT_CHARACTERS]})
    return faults


def check_document(name: str, document: Any) -> Any:
    """Return the document; raises ServiceError `bad_request` with all violations of the schema."""
    faults = list_faults(name, document)
    if faults:
        raise ServiceError("bad_request", places=faults)
    return document
