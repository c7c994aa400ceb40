"""Changes by native commands on top of a document that an operator sends on the platform interface.

Native commands don't modify the operator's source text. Their changes to groups and kinds are
stored as an overlay, which is kept when the document is replaced and is applied to the document in
force.
"""

from .document import Configuration, RequestKind
from .document_faults import document_invalid_at
from .records import Overlay, Record, document_of, overlay_of
from .validation import DecodedDocument, decode_configuration, decode_stored_configuration


def apply_overlay(document: dict, overlay: Overlay) -> dict:
    """Return a document with an overlay applied to it.

    A kind stays in its document's group while the group that it is attached to doesn't exist.
    """
    groups = {**document["groups"], **overlay["groups"]}
    kinds = {
        name: {**kind, "group": overlay["kinds"][name]}
        if overlay["kinds"].get(name) in groups
        else kind
        for name, kind in document["kinds"].items()
    }
    return {**document, "groups": groups, "kinds": kinds}


def effective_document(record: Record) -> dict:
    """Return the document of a record with its overlay applied; unchanged items are shared."""
    return apply_overlay(document_of(record), overlay_of(record))


def effective_configuration(record: Record, base: DecodedDocument | None = None) -> Configuration:
    """Return the configuration of a record with its document included.

    `base` is as in `decode_configuration`. Raises ServiceError `plan_invalid` if it doesn't fit the
    schema; its consistency was checked before it was stored.
    """
    return decode_stored_configuration(effective_document(record), base)


def put_overlay_group(document: dict, overlay: Overlay, name: str, group: dict) -> Overlay:
    """Return the overlay with a group set; raises ServiceError `plan_invalid` if invalid."""
    groups = {**overlay["groups"], name: group}
    return _checked(document, {**overlay, "groups": groups})


def remove_overlay_group(document: dict, overlay: Overlay, name: str) -> Overlay:
    """Return the overlay without a group.

    Raises ServiceError `plan_invalid` if it isn't in the overlay or a kind is attached to it.
    """
    if name not in overlay["groups"]:
        raise document_invalid_at(
            f"groups/{name}", "is not in the overlay; what the document holds, its sender removes"
        )
    groups = {other: group for other, group in overlay["groups"].items() if other != name}
    return _checked(document, {**overlay, "groups": groups})


def attach_overlay_kind(document: dict, overlay: Overlay, name: str, kind: dict) -> Overlay:
    """Return the overlay with a kind of the document attached to another group, or to its own.

    Only the group of `kind` may differ from the document's; its other fields belong to the sender
    of the document. Raises ServiceError `plan_invalid` if more differs or the group doesn't exist.
    """
    own = document["kinds"].get(name)
    if own is None:
        raise document_invalid_at(f"kinds/{name}", "is not in the plan")
    effective = apply_overlay(document, overlay)
    attached = {**own, "group": kind.get("group")}
    if _decode_kind(effective, name, kind) != _decode_kind(effective, name, attached):
        raise document_invalid_at(
            f"kinds/{name}", "only its group can be changed beside the document"
        )
    kinds = {other: group for other, group in overlay["kinds"].items() if other != name}
    if kind["group"] != own["group"]:
        kinds[name] = kind["group"]
    return _checked(document, {**overlay, "kinds": kinds})


def _decode_kind(document: dict, name: str, kind: dict) -> RequestKind:
    """Decode a kind as the only one of a document; raises ServiceError `plan_invalid`."""
    return decode_configuration({**document, "kinds": {name: kind}}).kinds[name]


def _checked(document: dict, overlay: Overlay) -> Overlay:
    """Return the overlay if it is valid on the document, else raise ServiceError `plan_invalid`.

    Each kind of the document that it attaches must name an existing group.
    """
    effective = apply_overlay(document, overlay)
    for name, group in overlay["kinds"].items():
        if name in document["kinds"] and group not in effective["groups"]:
            raise document_invalid_at(f"kinds/{name}/group", f"no group is named {group}")
    decode_configuration(effective)
    return overlay
