"""Checks an operator's whole document and decodes it to a `Configuration`."""

from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol, cast

import msgspec
import trafaret as t
from cachetools import LRUCache

from linkhaven.api import ServiceError
from linkhaven.api.fields import flatten_faults
from linkhaven.runtime import write_json

from .document import Configuration, Group, RequestKind, Tenant
from .document_faults import DocumentFault, document_invalid
from .schema import DOCUMENT, GROUP, KIND, NAME, TENANT

MAX_DECODED_ITEMS = 8_192
"""Cache size; more than the groups, kinds and tenants of two versions of a large document."""

_decoded_items: LRUCache = LRUCache(MAX_DECODED_ITEMS)
"""Cache of checked groups, kinds and tenants by schema, name and text, so that a change of a large
document checks and decodes only what it changed.
Test: `test_only_changed_parts_of_a_plan_are_checked_again`.
"""


class DecodedDocument(NamedTuple):
    """A valid document, which nobody modifies, and the configuration decoded from it."""

    document: dict[str, Any]
    configuration: Configuration

    def decoded_item(self, section: str, name: str, item: Any) -> Any:
        """Return what this very item was decoded to, or None if the document doesn't hold it."""
        if (self.document.get(section) or {}).get(name) is not item:
            return None
        return getattr(self.configuration, section)[name]


class _Schema(Protocol):
    def check(self, value: Any) -> Any:
        """Return the checked value, or raise trafaret.DataError."""


def decode_configuration(document: Any, base: DecodedDocument | None = None) -> Configuration:
    """Check a document and return its configuration, with defaults for omitted fields.

    Items that `document` shares with `base`, as the same objects, are taken as decoded there.
    Raises ServiceError `plan_invalid` with all faults, sorted by place.
    """
    faults: list[DocumentFault] = []
    configuration = None
    try:
        configuration = _decode(document, base)
    except t.DataError as error:
        faults += _schema_faults(error)
    faults += _list_inconsistencies(document)
    if configuration is None or faults:
        raise document_invalid(*sorted(faults, key=lambda fault: fault["place"]))
    return configuration


def decode_stored_configuration(
    document: Any, base: DecodedDocument | None = None
) -> Configuration:
    """Return the configuration of a document that was accepted before it was stored.

    Only the schema is checked: a document that an earlier version accepted stays readable when a
    consistency rule is added. `base` is as in `decode_configuration`. Raises ServiceError
    `plan_invalid` if the document doesn't fit the schema.
    Test: `test_a_stored_document_that_a_newer_rule_rejects_stays_in_force`.
    """
    try:
        return _decode(document, base)
    except t.DataError as error:
        raise document_invalid(*_schema_faults(error)) from None


def _schema_faults(error: t.DataError) -> list[DocumentFault]:
    return cast(list[DocumentFault], flatten_faults(error))


def list_document_faults(document: Any) -> list[DocumentFault]:
    """Return the faults of a document, an empty list if it is valid."""
    try:
        decode_configuration(document)
    except ServiceError as error:
        return error.detail["places"]
    return []


def _decode(document: Any, base: DecodedDocument | None) -> Configuration:
    """Decode a document; raises trafaret.DataError with each place that violates the schema."""
    try:
        groups = _decode_section(document, "groups", GROUP, Group, base)
        kinds = _decode_section(document, "kinds", KIND, RequestKind, base)
        tenants = (
            _decode_section(document, "tenants", TENANT, Tenant, base)
            if "tenants" in document
            else None
        )
    except (t.DataError, AttributeError, KeyError, TypeError, ValueError):
        return msgspec.convert(DOCUMENT.check(document), Configuration)
    empty_sections: dict[str, dict] = {"groups": {}, "kinds": {}}
    if tenants is not None:
        empty_sections["tenants"] = {}
    checked = DOCUMENT.check({**document, **empty_sections})
    rest = msgspec.convert(checked, Configuration)
    return msgspec.structs.replace(rest, groups=groups, kinds=kinds, tenants=tenants)


def _decode_section(
    document: Any, section: str, schema: _Schema, record: type, base: DecodedDocument | None
) -> dict[str, Any]:
    """Return the decoded items of one section of a document, by name."""
    decoded = {}
    for name, item in document[section].items():
        known = None if base is None else base.decoded_item(section, name, item)
        decoded[name] = _decode_item(schema, record, name, item) if known is None else known
    return decoded


def _decode_item(schema: _Schema, record: type, name: str, item: Any) -> Any:
    key = (schema, name, write_json(item))
    decoded = _decoded_items.get(key)
    if decoded is None:
        NAME.check(name)
        decoded = _decoded_items[key] = msgspec.convert(schema.check(item), record)
    return decoded


# Consistency between fields. The document may have any form here: schema faults and these faults
# are reported together, so that an operator can correct all of them at once.


def _list_inconsistencies(document: Any) -> list[DocumentFault]:
    groups = document.get("groups") if isinstance(document, dict) else None
    kinds = document.get("kinds") if isinstance(document, dict) else None
    if not isinstance(groups, dict) or not isinstance(kinds, dict):
        return []
    faults: list[DocumentFault] = []
    owners: dict[tuple[str, str], str] = {}
    for name, kind in kinds.items():
        if isinstance(kind, dict):
            faults += _list_pool_faults(name, kind, document.get("pools"))
            faults += _list_route_faults(name, kind, owners)
            faults += _list_kind_faults(name, kind, groups)
    if not groups:
        faults.append({"place": "groups", "fault": "at least one group is needed"})
    faults += _list_shared_keys(document.get("tenants"))
    return faults


def _list_shared_keys(tenants: Any) -> Iterator[DocumentFault]:
    """Yield tenants with a key of another tenant: the owner of a request would be ambiguous."""
    owners: dict[str, str] = {}
    for name, tenant in tenants.items() if isinstance(tenants, dict) else ():
        digests = tenant.get("keys") if isinstance(tenant, dict) else None
        for index, digest in enumerate(digests if isinstance(digests, list) else ()):
            owner = owners.setdefault(str(digest), name)
            if owner != name:
                yield {
                    "place": f"tenants/{name}/keys/{index}",
                    "fault": f"is a key of {owner} too",
                }


def _list_pool_faults(name: str, kind: dict, pools: Any) -> Iterator[DocumentFault]:
    """Yield the faults of a kind's pools.

    `pools` are the document's own: None if it doesn't list them, then any name is taken; a list
    without entries allows none.
    Test: `test_a_kind_of_an_unlisted_pool_is_rejected_however_short_the_list_is`.
    """
    listed = kind.get("pools")
    entries = (
        [entry for entry in listed if isinstance(entry, dict)] if isinstance(listed, list) else []
    )
    if isinstance(pools, dict):
        for index, entry in enumerate(entries):
            if isinstance(entry.get("pool"), str) and entry["pool"] not in pools:
                yield {
                    "place": f"kinds/{name}/pools/{index}/pool",
                    "fault": f"no pool is named {entry['pool']}",
                }
    weights = [entry.get("weight") for entry in entries]
    if weights and all(weight == 0 for weight in weights):
        yield {"place": f"kinds/{name}/pools", "fault": "the weights sum to 0"}


def _list_route_faults(
    name: str, kind: dict, owners: dict[tuple[str, str], str]
) -> Iterator[DocumentFault]:
    """Yield a fault for a route of another kind; `owners` collects the kind of each route."""
    route = kind.get("door")
    if not isinstance(route, dict) or not isinstance(route.get("host"), str):
        return
    key = (route["host"].lower(), str(route.get("prefix")))
    owner = owners.setdefault(key, name)
    if owner != name:
        yield {"place": f"kinds/{name}/door", "fault": f"is the door of {owner} too"}


def _list_kind_faults(name: str, kind: dict, groups: dict) -> Iterator[DocumentFault]:
    group = kind.get("group")
    if isinstance(group, str) and group not in groups:
        yield {"place": f"kinds/{name}/group", "fault": f"no group is named {group}"}
    if kind.get("repeatable") is False and kind.get("resumable"):
        yield {
            "place": f"kinds/{name}/resumable",
            "fault": "a kind that cannot be repeated cannot be resumed",
        }
    if kind.get("key_required") and kind.get("repeatable") is not False:
        yield {
            "place": f"kinds/{name}/key_required",
            "fault": "only a kind that cannot be repeated has keys",
        }
    ttft_us, deadline_us = kind.get("ttft_us"), kind.get("deadline_us")
    if isinstance(ttft_us, int) and isinstance(deadline_us, int) and ttft_us > deadline_us:
        yield {"place": f"kinds/{name}/ttft_us", "fault": "is beyond the deadline"}
