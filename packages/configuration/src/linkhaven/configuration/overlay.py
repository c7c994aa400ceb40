from linkhaven.api import ServiceError

from .check import decode_configuration

EMPTY = {"groups": {}, "kinds": {}}


def overlay_of(value):
    return (value or {}).get("overlay") or EMPTY


def apply_overlay(plan, overlay):
    """Groups of the overlay replace the plan's or are added; kinds are attached where both ends are there."""
    groups = {**plan["groups"], **overlay["groups"]}
    kinds = {
        name: {**kind, "group": overlay["kinds"][name]}
        if overlay["kinds"].get(name) in groups
        else kind
        for name, kind in plan["kinds"].items()
    }
    return {**plan, "groups": groups, "kinds": kinds}


def effective_configuration(value):
    return decode_configuration(apply_overlay(value["plan"], overlay_of(value)))


def _misfit(place, fault):
    return ServiceError("plan_invalid", places=[{"place": place, "fault": fault}])


def _check(plan, overlay):
    """What is laid over must fit, and a kind that is there must find the group it is attached to."""
    laid = apply_overlay(plan, overlay)
    for name, group in overlay["kinds"].items():
        if name in plan["kinds"] and group not in laid["groups"]:
            raise _misfit(f"kinds/{name}/group", f"no group is named {group}")
    decode_configuration(laid)
    return overlay


def put_overlay_group(plan, overlay, name, group):
    return _check(plan, {**overlay, "groups": {**overlay["groups"], name: group}})


def remove_overlay_group(plan, overlay, name):
    if name not in overlay["groups"]:
        raise _misfit(
            f"groups/{name}", "is not in the overlay; what the document holds, its sender removes"
        )
    return _check(
        plan,
        {
            **overlay,
            "groups": {other: terms for other, terms in overlay["groups"].items() if other != name},
        },
    )


def attach_overlay_kind(plan, overlay, name, kind):
    """Only the group: everything else about a kind is its document's."""
    held = plan["kinds"].get(name)
    if held is None:
        raise _misfit(f"kinds/{name}", "is not in the plan")
    laid = apply_overlay(plan, overlay)
    filled = [
        decode_configuration({**laid, "kinds": {name: terms}})["kinds"][name]
        for terms in (kind, {**held, "group": kind.get("group")})
    ]
    if filled[0] != filled[1]:
        raise _misfit(f"kinds/{name}", "only its group can be changed beside the document")
    kinds = {other: group for other, group in overlay["kinds"].items() if other != name}
    if kind["group"] != held["group"]:
        kinds[name] = kind["group"]
    return _check(plan, {**overlay, "kinds": kinds})
