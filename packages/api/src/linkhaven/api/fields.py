import trafaret as t

NAME = t.Regexp(r"^[a-z0-9][a-z0-9-]{0,63}$")


def whole(gte=None, lte=None):
    def check(value):
        if type(value) is not int:
            return t.DataError("is not a whole number")
        if gte is not None and value < gte:
            return t.DataError(f"is below {gte}")
        if lte is not None and value > lte:
            return t.DataError(f"is above {lte}")
        return value

    return t.Call(check)


def number(above=None, least=None, most=None):
    def check(value):
        if type(value) not in (int, float) or value != value:
            return t.DataError("is not a number")
        if above is not None and value <= above or least is not None and value < least:
            return t.DataError(
                f"is not {'above' if above is not None else 'at least'} {above if above is not None else least}"
            )
        if most is not None and value > most:
            return t.DataError(f"is above {most}")
        return value

    return t.Call(check)


def list_places(fault, place="."):
    """Every fault of a checked document, with its place."""
    if isinstance(fault, t.DataError):
        fault = fault.as_dict()
    if not isinstance(fault, dict):
        return [{"place": place, "fault": str(fault)}]
    places = []
    if set(fault) <= {"key", "value"}:
        return [found for inner in fault.values() for found in list_places(inner, place)]
    for key, inner in fault.items():
        places += list_places(inner, str(key) if place == "." else f"{place}/{key}")
    return places
