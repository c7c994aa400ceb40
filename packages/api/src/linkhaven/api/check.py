"""Checks of documents against the schemas of the OpenAPI file, `linkhaven.yaml`."""

from functools import lru_cache
from importlib import resources
from typing import Any

import yaml

from .errors import ServiceError

FAULT_CHARACTERS = 200
"""A fault may quote the document; so much of it is told."""

CACHED_VALIDATORS = 64
"""More than the file has schemas."""


@lru_cache(maxsize=1)
def read_schema() -> dict[str, Any]:
    """The OpenAPI file of the native interface, as a document."""
    text = resources.files("linkhaven.api").joinpath("linkhaven.yaml").read_text()
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    schema: dict[str, Any] = yaml.load(text, loader)
    return schema


@lru_cache(maxsize=CACHED_VALIDATORS)
def _validator(name: str) -> Any:
    # Imported here: it is a fifth of a process's start, and many processes check nothing.
    from jsonschema import Draft202012Validator

    schema = read_schema()
    return Draft202012Validator(
        {"$ref": f"#/components/schemas/{name}", "components": schema["components"]}
    )


def list_faults(name: str, document: Any) -> list[dict[str, str]]:
    """Every fault of a document by the schema `name`: its `place`, as a path, and the `fault`."""
    faults = []
    for error in _validator(name).iter_errors(document):
        place = "/".join(str(part) for part in error.absolute_path) or "."
        faults.append({"place": place, "fault": error.message[:FAULT_CHARACTERS]})
    return faults


def check_document(name: str, document: Any) -> Any:
    """The document itself; raises `bad_request` with all places that don't fit the schema."""
    faults = list_faults(name, document)
    if faults:
        raise ServiceError("bad_request", places=faults)
    return document
