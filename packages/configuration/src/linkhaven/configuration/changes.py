"""What differs between two plans, so that a router is told that and not the whole.

The difference names its result only by the result's digest, which the receiver checks: whatever
goes wrong on the way, a plan that isn't the one of its digest is never taken.
"""

import msgspec

from linkhaven.runtime import read_json, write_json

PARTS = ("groups", "kinds", "pools")
"""The parts of a plan whose items change one by one; all else is told whole where it differs."""


class PlanChanges(msgspec.Struct, frozen=True):
    """By part: items to set and names to drop; `rest`: other fields to set, `gone`: to drop."""

    upserts: dict[str, dict]
    removals: dict[str, list[str]]
    rest: dict
    gone: list[str]

    def write(self):
        """Return the text that `read_changes` reads."""
        return write_json(msgspec.to_builtins(self)).decode()


def read_changes(text):
    """Read what `write` wrote; raises msgspec.ValidationError or ServiceError for anything else."""
    return msgspec.convert(read_json(text), PlanChanges)


def diff_of(old, new):
    """Return what makes the plan `new` of the plan `old`."""
    upserts, removals = {}, {}
    for part in PARTS:
        held, wanted = old.get(part), new.get(part)
        if held is None or wanted is None:
            continue
        changed = {name: item for name, item in wanted.items() if held.get(name) != item}
        dropped = [name for name in held if name not in wanted]
        if changed:
            upserts[part] = changed
        if dropped:
            removals[part] = dropped
    whole = {
        field: value
        for field, value in new.items()
        if (field not in PARTS or field not in old) and old.get(field) != value
    }
    return PlanChanges(upserts, removals, whole, [field for field in old if field not in new])


def apply_changes(plan, changes):
    """Return the plan with the changes applied; the one given stays as it is."""
    changed = {field: value for field, value in plan.items() if field not in changes.gone}
    changed.update(changes.rest)
    for part in {*changes.upserts, *changes.removals}:
        removed = set(changes.removals.get(part, ()))
        kept = {name: item for name, item in changed.get(part, {}).items() if name not in removed}
        changed[part] = {**kept, **changes.upserts.get(part, {})}
    return changed
