"""Our own commands for groups and kinds, kept beside a document that a foreign operator sends.

Such a document is its sender's: our commands don't alter its bytes. What they change is stored as
an overlay, which survives the next document, and is applied to whatever document is in force.
"""

from .document import Configuration, RequestKind
from .document_faults import document_invalid_at
from .records import Overlay, Record, document_of, overlay_of
from .validation import decode_configuration


def apply_overlay(document: dict, overlay: Overlay) -> dict:
    """Return a document with an overlay applied to it.

    A kind stays in its document's group while the one that it is attached to isn't there.
    """
    groups = {**document["groups"], **overlay["groups"]}
    kinds = {
        name: {**kind, "group": overlay["kinds"][name]}
        if overlay["kinds"].get(name) in groups
        else kind
        for name, kind in document["kinds"].items()
    }
    return {**document, "groups": groups, "kinds": kinds}


def effective_configuration(record: Record) -> Configuration:
    """Return the configuration that a record with its document in it puts in force.

    Raises ServiceError `plan_invalid`, which none does that was checked before it was stored.
    """
    return decode_configuration(apply_overlay(document_of(record), overlay_of(record)))


def put_overlay_group(document: dict, overlay: Overlay, name: str, group: dict) -> Overlay:
    """Return the overlay with a group set. Raises ServiceError `plan_invalid` if it doesn't fit."""
    groups = {**overlay["groups"], name: group}
    return _checked(document, {**overlay, "groups": groups})


def remove_overlay_group(document: dict, overlay: Overlay, name: str) -> Overlay:
    """Return the overlay without a group.

    Raises ServiceError `plan_invalid` if the overlay lacks it, or a kind is attached to it.
    """
    if name not in overlay["groups"]:
        raise document_invalid_at(
            f"groups/{name}", "is not in the overlay; what the document holds, its sender removes"
        )
    groups = {other: group for other, group in overlay["groups"].items() if other != name}
    return _checked(document, {**overlay, "groups": groups})


def attach_overlay_kind(document: dict, overlay: Overlay, name: str, kind: dict) -> Overlay:
    """Return the overlay with a kind of the document attached to another group, or to its own.

    Only the group of `kind` may differ from the document's; everything else about a kind is its
    sender's. Raises ServiceError `plan_invalid` where more differs or the group isn't there.
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
    """Read a kind as a document of only this one would have it; raises `plan_invalid`."""
    return decode_configuration({**document, "kinds": {name: kind}}).kinds[name]


def _checked(document: dict, overlay: Overlay) -> Overlay:
    """Return the overlay if it fits, and each kind of the document finds the group that it names.

    Raises ServiceError `plan_invalid`.
    """
    effective = apply_overlay(document, overlay)
    for name, group in overlay["kinds"].items():
        if name in document["kinds"] and group not in effective["groups"]:
            raise document_invalid_at(f"kinds/{name}/group", f"no group is named {group}")
    decode_configuration(effective)
    return overlay
