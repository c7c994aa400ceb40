"""Changes of named items: what a patch adds, replaces and removes, apart from how items are stored.

A patch names the parts of a document that it changes. Each part holds items with unique names,
either as a list of items that carry a `name` or as a mapping from names to items. Items that the
patch doesn't name keep their content and their order; a replaced item keeps its place, and a new
one comes last.
"""

import msgspec

from linkhaven.api import ServiceError

NAME = "name"


class Patch(msgspec.Struct, frozen=True):
    """By part: the items to add or to replace, by name, and the names to remove."""

    upserts: dict[str, dict[str, dict]]
    removals: dict[str, list[str]]

    def parts(self):
        """Return the names of all parts that are changed."""
        return sorted({*self.upserts, *self.removals})


class PatchFaults:
    """Collects what is wrong with a patch, by place, and refuses it as a whole."""

    __slots__ = ("places",)

    def __init__(self):
        """Nothing is wrong yet."""
        self.places = []

    def add(self, place, fault):
        """Note one fault."""
        self.places.append({"place": place, "fault": fault})

    def refuse(self):
        """Raise `plan_invalid` with all places, if there are any."""
        if self.places:
            raise ServiceError("plan_invalid", places=self.places)


def read_list_patch(document):
    """Read a patch whose upserts are lists of items that carry their names.

    Raises `plan_invalid`, with each place, for what can't be read as one.
    """
    faults = PatchFaults()
    upserts, removals = {}, {}
    for part, items in _read_mapping(document, "upserts", faults).items():
        upserts[part] = _read_items(part, items, faults)
    for part, names in _read_mapping(document, "removals", faults).items():
        removals[part] = _read_names(part, names, faults)
    faults.refuse()
    return Patch(upserts, removals)


def read_mapping_patch(document):
    """Read a patch whose upserts are mappings from names to items; raises `plan_invalid`."""
    faults = PatchFaults()
    upserts, removals = {}, {}
    for part, items in _read_mapping(document, "upserts", faults).items():
        if not isinstance(items, dict):
            faults.add(f"upserts/{part}", "is not a mapping of names to items")
            continue
        upserts[part] = items
    for part, names in _read_mapping(document, "removals", faults).items():
        removals[part] = _read_names(part, names, faults)
    faults.refuse()
    return Patch(upserts, removals)


def _read_mapping(document, field, faults):
    told = document.get(field)
    if told is None:
        return {}
    if not isinstance(told, dict):
        faults.add(field, "is not a mapping of parts")
        return {}
    return told


def _read_items(part, items, faults):
    if not isinstance(items, list):
        faults.add(f"upserts/{part}", "is not a list of items")
        return {}
    named = {}
    for place, item in enumerate(items):
        name = item.get(NAME) if isinstance(item, dict) else None
        if not isinstance(name, str) or not name:
            faults.add(f"upserts/{part}/{place}", "lacks a name")
        elif name in named:
            faults.add(f"upserts/{part}/{name}", "stands twice")
        else:
            named[name] = item
    return named


def _read_names(part, names, faults):
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        faults.add(f"removals/{part}", "is not a list of names")
        return []
    for name in {name for name in names if names.count(name) > 1}:
        faults.add(f"removals/{part}/{name}", "stands twice")
    return names


def _check_names(patch, part, held, faults):
    """Refuse an item that is both changed and removed, and a removal of what isn't there."""
    upserts = patch.upserts.get(part, {})
    for name in patch.removals.get(part, ()):
        if name in upserts:
            faults.add(f"removals/{part}/{name}", "is in the upserts, too")
        elif name not in held:
            faults.add(f"removals/{part}/{name}", "isn't there")


def apply_to_lists(document, patch, known_parts):
    """Return the document with the patch applied to its lists of named items.

    `known_parts` may be patched also where the document lacks them. Raises `plan_invalid` and
    changes nothing where the patch doesn't fit.
    """
    faults = PatchFaults()
    changed = dict(document)
    for part in patch.parts():
        items = document.get(part, [] if part in known_parts else None)
        if not _is_list_of_named(items):
            faults.add(part, "is no list of named items")
            continue
        _check_names(patch, part, {item[NAME] for item in items}, faults)
        changed[part] = _patched_list(items, patch, part)
    faults.refuse()
    return changed


def _is_list_of_named(items):
    return isinstance(items, list) and all(
        isinstance(item, dict) and NAME in item for item in items
    )


def _patched_list(items, patch, part):
    upserts = patch.upserts.get(part, {})
    removed = set(patch.removals.get(part, ()))
    held = [item for item in items if item[NAME] not in removed]
    replaced = [upserts.get(item[NAME], item) for item in held]
    known = {item[NAME] for item in held}
    return replaced + [item for name, item in upserts.items() if name not in known]


def apply_to_mappings(document, patch, known_parts):
    """Return the document with the patch applied to its mappings from names to items.

    Only `known_parts` may be patched. Raises `plan_invalid` and changes nothing where the patch
    doesn't fit.
    """
    faults = PatchFaults()
    changed = dict(document)
    for part in patch.parts():
        if part not in known_parts:
            faults.add(part, f"is none of {', '.join(known_parts)}")
            continue
        held = document.get(part, {})
        _check_names(patch, part, held, faults)
        removed = patch.removals.get(part, ())
        kept = {name: item for name, item in held.items() if name not in removed}
        changed[part] = {**kept, **patch.upserts.get(part, {})}
    faults.refuse()
    return changed
