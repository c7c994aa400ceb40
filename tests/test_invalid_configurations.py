"""Configurations with one thing changed, drawn at random, against what the platform's page says.

The oracle reads the sent text by itself, without the code under test: an invalid configuration is
never acknowledged, whatever is changed, and every text gets an answer.
"""

import copy
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linkhaven.api import ServiceError
from linkhaven.configuration import decode_configuration
from linkhaven.platform.operator import OperatorApi
from linkhaven.runtime import Call

BASE = 4
EXAMPLES = 1_500
OK = 200


class RecordedCall(Call):
    """A request whose response is recorded."""

    __slots__ = ("status",)

    def answer(self, status, headers, body):
        self.is_ended = True
        self.status = status


class AcceptingStore:
    """Commits what decodes, on a base whose revision is `BASE`."""

    def __init__(self, text=None):
        self.text = text

    def put_document(self, base, revision, text, document, on_result):
        decode_configuration(document)
        on_result(None, Committed(revision))

    def patch_document(self, base, revision, text, merge, on_result):
        try:
            merged, document = merge(self.text)
            decode_configuration(document)
        except ServiceError as error:
            return on_result(error, None)
        self.text = merged
        on_result(None, Committed(revision))


class Committed:
    """The result of a commit."""

    def __init__(self, key):
        self.key = key


def status_of(text, command="Replace", store=None):
    """Return the status of the answer to a command with this text."""
    call = RecordedCall("POST", f"/Configuration.{command}", {"base-version": str(BASE)}, text)
    OperatorApi(store or AcceptingStore(), 0.2, 10).serve(call)
    assert call.is_ended, "the connection ends without an answer"
    return call.status


# The oracle


class AmbiguousTextError(Exception):
    """A text that isn't JSON, or that two parsers may read differently."""


def refuse(text):
    raise AmbiguousTextError(text)


def read_number(text):
    number = float(text)
    if number in (float("inf"), float("-inf")):
        raise AmbiguousTextError(text)
    return number


def read_object(members):
    if len({name for name, _ in members}) < len(members):
        raise AmbiguousTextError(members)
    return dict(members)


def read_as_every_parser(text):
    """Return the document of a text; raises AmbiguousTextError."""
    try:
        document = json.loads(
            text, parse_constant=refuse, parse_float=read_number, object_pairs_hook=read_object
        )
        json.dumps(document, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as fault:
        raise AmbiguousTextError(fault) from None
    return document


def targets_of(route):
    """Return the services that a route names, and the sum of its weights (None without a split)."""
    names = [route["target_service"]] if route.get("target_service") is not None else []
    split = route.get("traffic_split")
    if split is None:
        return names, None
    return names + [part["target_service"] for part in split], sum(part["weight"] for part in split)


def breaks_the_page(document):
    """Return which sentence of the page a configuration breaks, None for none of them."""
    try:
        return next(found_faults(document), None)
    except (KeyError, TypeError, AttributeError, IndexError):
        return "it cannot be read whole"


def found_faults(document):
    if type(document["revision"]) is not int:
        yield "it cannot be read whole"
    services = [service["name"] for service in document["services"]]
    places = set()
    for route in document["route_rules"]:
        names, weights = targets_of(route)
        if not names or not set(names) <= set(services):
            yield "a route names an unknown service"
        if weights == 0:
            yield "a route's weights sum to 0"
        if route["timeout_ms"] == 0:
            yield "a timeout_ms is 0"
        place = (route["hostname"].lower(), route["path_prefix"])
        if place in places:
            yield "two routes have the same host and prefix"
        places.add(place)
    keys = [key for tenant in document.get("tenants") or [] for key in set(tenant["api_keys"])]
    if len(set(keys)) < len(keys):
        yield "two tenants share a key"


# The generator


@st.composite
def routes(draw, services):
    route = {
        "name": f"r-{draw(st.integers(0, 10**9))}",
        "hostname": draw(st.sampled_from(["one.example", "two.example"])),
        "path_prefix": f"/{draw(st.integers(0, 10**9))}/",
        "route_type": draw(st.sampled_from(["safe", "unsafe", "streaming"])),
        "timeout_ms": draw(st.integers(1, 9_000)),
        "target_latency_ms": draw(st.integers(1, 2_000)),
        "priority": draw(st.integers(0, 3)),
        "max_attempts": draw(st.integers(1, 3)),
        "resumable": draw(st.booleans()),
    }
    if draw(st.booleans()):
        return {**route, "target_service": draw(st.sampled_from(services))}
    weights = draw(st.lists(st.integers(0, 9), min_size=1, max_size=3).filter(any))
    split = [
        {"target_service": draw(st.sampled_from(services)), "weight": weight} for weight in weights
    ]
    return {**route, "traffic_split": split}


@st.composite
def configurations(draw):
    services = [f"s-{number}" for number in range(draw(st.integers(1, 3)))]
    engine = {"capacity": 64, "token_kv_bytes": 18_432, "link_mbps": 740_000.0, "kv_hold_s": 5.0}
    unique = ("name", "path_prefix")
    document = {
        "revision": 7,
        "route_rules": draw(
            st.lists(
                routes(services),
                min_size=1,
                max_size=3,
                unique_by=tuple(lambda route, field=field: route[field] for field in unique),
            )
        ),
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 360, "engine": {**engine}}
            for name in services
        ],
        "limits": {"max_header_bytes": 16_384, "idle_timeout_ms": 15_000},
    }
    if draw(st.booleans()):
        document["tenants"] = [
            {"name": f"t-{number}", "api_keys": [f"key-{number}"], "rate_per_s": 3, "burst_size": 2}
            for number in range(draw(st.integers(1, 3)))
        ]
    return document


ODD_VALUES = [
    None,
    True,
    False,
    0,
    0.0,
    -1,
    1.5,
    10**20,
    10**400,
    1e300,
    float("inf"),
    float("nan"),
    "",
    "no",
    "svc-unknown",
    "\ud800",
    "\r\n",
    [],
    [None],
    {},
    {"name": []},
]


def places_of(value, place=()):
    """Yield the path of every value inside a document."""
    if not isinstance(value, (dict, list)):
        return
    for key, child in value.items() if isinstance(value, dict) else enumerate(value):
        yield (*place, key)
        yield from places_of(child, (*place, key))


def change(document, place, how, value):
    """Change what stands at one place of a document."""
    *path, last = place
    for key in path:
        document = document[key]
    if how == "drop":
        del document[last]
    elif how == "double" and isinstance(document, list):
        document.append(copy.deepcopy(document[last]))
    elif how == "case" and isinstance(last, str):
        document[last.swapcase()] = document.pop(last)
    elif how == "case" and isinstance(document[last], str):
        document[last] = document[last].swapcase()
    else:
        document[last] = value


@st.composite
def changed_texts(draw):
    document = draw(configurations())
    place = draw(st.sampled_from(list(places_of(document))))
    how = draw(st.sampled_from(["drop", "double", "case", "replace", "replace", "replace"]))
    change(document, place, how, draw(st.sampled_from(ODD_VALUES)))
    return json.dumps(document)


@st.composite
def changes_of_items(draw):
    """A configuration in force, and the text of a change of its items with one thing changed."""
    document, other = draw(configurations()), draw(configurations())
    command = {"revision": 9, "upserts": {}, "removals": {}}
    for part in ("route_rules", "services", "tenants"):
        if other.get(part) and draw(st.booleans()):
            command["upserts"][part] = other[part]
        if document.get(part) and draw(st.booleans()):
            command["removals"][part] = [draw(st.sampled_from(document[part]))["name"]]
    if draw(st.booleans()):
        how = draw(st.sampled_from(["drop", "double", "case", "replace", "replace"]))
        place = draw(st.sampled_from(list(places_of(command))))
        change(command, place, how, draw(st.sampled_from(ODD_VALUES)))
    return json.dumps(document), json.dumps(command)


# The tests


@given(configurations())
@settings(max_examples=200, derandomize=True, deadline=None)
def test_a_valid_configuration_is_acknowledged(document):
    assert breaks_the_page(document) is None
    assert status_of(json.dumps(document).encode()) == OK


# An invalid configuration was acknowledged where the changed part was empty or hidden by another,
# and the connection ended without an answer where a number had no end.
@given(changed_texts())
@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
def test_an_invalid_configuration_is_never_acknowledged_and_every_text_is_answered(text):
    status = status_of(text.encode())
    assert status == OK or 400 <= status < 500
    try:
        fault = breaks_the_page(read_as_every_parser(text))
    except AmbiguousTextError:
        fault = "it cannot be read whole"
    assert fault is None or status != OK, fault


@given(changes_of_items())
@settings(max_examples=500, derandomize=True, deadline=None)
def test_no_change_of_items_makes_an_invalid_configuration(change_of_items):
    before, text = change_of_items
    store = AcceptingStore(before)
    status = status_of(text.encode(), "Update", store)
    assert status == OK or 400 <= status < 500
    assert status == OK or store.text == before
    assert breaks_the_page(read_as_every_parser(store.text)) is None


@given(changed_texts(), st.data())
@settings(max_examples=300, derandomize=True, deadline=None)
def test_a_text_that_is_cut_short_is_answered_and_never_acknowledged(text, data):
    cut = text[: data.draw(st.integers(0, len(text) - 1))]
    assert 400 <= status_of(cut.encode()) < 500


@pytest.mark.parametrize("text", [b"", b"null", b"[]", b"\xff\xfe{}", b"[" * 100_000, b'{"a":1'])
def test_a_text_that_is_no_configuration_is_answered(text):
    assert 400 <= status_of(text) < 500
