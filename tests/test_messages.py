"""Typed messages: encoding, refusal of malformed lines, and compatibility between versions."""

import json
import math
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linkhaven.api import ServiceError
from linkhaven.controller.messages import (
    ClaimsResponse,
    ConfigurationResponse,
    QuorumContactRequest,
    QuorumContactResponse,
)
from linkhaven.membership import Membership
from linkhaven.membership.messages import (
    Heartbeat,
    Leave,
    MemberList,
    MemberListDigest,
    MemberRecord,
    Suspicion,
    make_hello,
)
from linkhaven.pairing.messages import LinkSample, QueueView, QueueViews, RunnerEjected
from linkhaven.router.messages import Explanation, WantExplanation
from linkhaven.runtime import (
    Bounds,
    LineReader,
    Message,
    Node,
    read_json,
    write_json,
    write_line,
)
from linkhaven.stage.line_costs import samples
from linkhaven.stage.world import Host, World

MANY_EXAMPLES = settings(max_examples=400, deadline=None, derandomize=True)
ENVELOPE = {"name": "router-1", "back": "10.0.0.1:7000"}


class Load(Message, tag="load"):
    """A typed message for these tests."""

    runner: str
    waiting: int
    share: float = 0.5
    parts: list[int] = []


class NewerLoad(Message, tag="load"):
    """The same kind in a newer version, with one more field."""

    runner: str
    waiting: int
    share: float = 0.5
    parts: list[int] = []
    zone: str = "north"


def load_line(**changed):
    return write_json({"say": "load", "runner": "r-1", "waiting": 3, **ENVELOPE, **changed})


def reader_of(*message_types):
    reader = LineReader()
    for message_type in message_types:
        reader.add(message_type)
    return reader


class Ports(SimpleNamespace):
    """Ports that record the lines that are sent and the events that are logged."""

    def __init__(self):
        super().__init__(lines=[], events=[])
        self.clock = SimpleNamespace(now_us=lambda: 0)
        self.network = SimpleNamespace(
            send=lambda address, message: self.lines.append((address, write_line(message)))
        )
        self.log = lambda number, **facts: self.events.append((number, facts))


def make_node():
    return Node("router-1", "10.0.0.1:7000", Ports())


def dispatch_line(node, line):
    message = node.read_line(line)
    if message is not None:
        node.dispatch(message)


def test_a_typed_message_is_encoded_like_the_untyped_one():
    typed, untyped = make_node(), make_node()
    typed.send("10.0.0.2:7000", Load("r-1", 3, 0.25, [1, 2]))
    untyped.send_untyped("10.0.0.2:7000", "load", runner="r-1", waiting=3, share=0.25, parts=[1, 2])
    [(typed_address, typed_line)], [(address, line)] = typed.ports.lines, untyped.ports.lines
    assert typed_address == address
    assert json.loads(typed_line) == json.loads(line)
    assert typed_line.endswith(b"}\n") and typed_line.count(b"\n") == 1


def test_a_typed_message_is_dispatched_to_its_handler_with_its_envelope():
    node, handled, senders = make_node(), [], []
    node.register_handler(Load, handled.append)
    node.sender_listeners.append(senders.append)
    dispatch_line(node, load_line())
    assert handled == [Load("r-1", 3, sender="router-1", reply_to="10.0.0.1:7000")]
    assert senders == ["router-1"] and node.ports.events == []


def test_one_node_handles_typed_and_untyped_kinds():
    node, handled = make_node(), []
    node.register_handler(Load, lambda message: handled.append(message.waiting))
    node.map_handlers["plain"] = lambda message: handled.append(message["number"])
    dispatch_line(node, load_line())
    dispatch_line(node, write_json({"say": "plain", "number": 7, **ENVELOPE}))
    assert handled == [3, 7] and node.ports.events == []


def test_old_and_new_versions_of_a_message_are_read_by_each_other():
    old, new = Load("r-1", 3, **_envelope()), NewerLoad("r-1", 3, zone="south", **_envelope())
    assert reader_of(Load).read(write_line(new)) == old
    assert reader_of(NewerLoad).read(write_line(old)) == NewerLoad("r-1", 3, **_envelope())
    assert LineReader().read(write_line(new)) == json.loads(write_line(new))


def _envelope():
    return {"sender": "router-1", "reply_to": "10.0.0.1:7000"}


def test_a_message_of_an_unknown_kind_is_ignored_without_an_event():
    node = make_node()
    dispatch_line(node, write_json({"say": "unknown_kind", "fact": 1, **ENVELOPE}))
    assert node.ports.events == []


@pytest.mark.parametrize(
    "line",
    [
        load_line(waiting="3"),
        load_line(waiting=None),
        load_line(waiting=True),
        load_line(waiting=3.5),
        load_line(parts=[1, "2"]),
        load_line(runner=7),
        load_line(name=7),
        load_line(back=None),
        load_line(say=["load"]),
        write_json({"say": "load", "runner": "r-1", **ENVELOPE}),
        write_json({"say": "load", "runner": "r-1", "waiting": 3}),
        write_json({"runner": "r-1", "waiting": 3, **ENVELOPE}),
        b"[1]",
        b"7",
        b"null",
        b'{"say":"load","name":"a","back":"b","runner":"r-1","waiting":NaN}',
        b'{"say":"load","name":"a","back":"b","runner":"r-1","waiting":1e400}',
    ],
)
def test_a_malformed_line_is_refused_with_one_event_and_the_next_is_handled(line):
    node, handled = make_node(), []
    node.register_handler(Load, handled.append)
    dispatch_line(node, line)
    assert handled == []
    [(number, facts)] = node.ports.events
    assert number == 1006 and facts["code"] == "message_malformed" and facts["why"]
    dispatch_line(node, load_line())
    assert [message.waiting for message in handled] == [3]


@pytest.mark.parametrize("fault", [KeyError("runner"), ServiceError("too_busy")])
def test_a_fault_in_a_handler_is_logged_and_ends_nothing(fault):
    node, handled = make_node(), []

    def handle(message):
        handled.append(message.waiting)
        raise fault

    node.register_handler(Load, handle)
    dispatch_line(node, load_line())
    dispatch_line(node, load_line(waiting=4))
    assert handled == [3, 4] and [number for number, _ in node.ports.events] == [1005, 1005]


def test_the_simulated_network_refuses_malformed_messages_like_the_real_one():
    world, handled = World(1), []

    class Receiver(Node):
        def __init__(self, host, ports):
            super().__init__(host.name, host.address, ports)
            self.register_handler(Load, handled.append)

    hosts = [
        Host(world, name, "north", f"10.0.0.{place}:7000", Receiver)
        for place, name in ((1, "router-1"), (2, "router-2"))
    ]
    world.is_tracing = True
    sender = [host.start() for host in hosts][0]
    sender.send("10.0.0.2:7000", Load("r-1", "three"))
    sender.send("10.0.0.2:7000", Load("r-1", 3))
    sender.send("10.0.0.1:7000", Load("r-1", math.nan))
    world.run_for(1_000_000)
    assert [(message.sender, message.waiting) for message in handled] == [("router-1", 3)]
    refused = [(name, number) for _, name, number, _ in world.events]
    assert sorted(refused) == [("router-1", 1006), ("router-2", 1006)]


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=8,
)
FIELDS = st.fixed_dictionaries(
    {},
    optional={
        "say": st.sampled_from(["load", "other"]) | JSON,
        "name": st.just("router-1") | JSON,
        "back": st.just("10.0.0.1:7000") | JSON,
        "runner": st.just("r-1") | JSON,
        "waiting": st.integers() | JSON,
        "share": st.floats() | JSON,
        "parts": st.lists(st.integers(), max_size=3) | JSON,
    },
)


def handle_line(line):
    """Return what a node does with a line: the messages it handles and the events it logs."""
    node, handled = make_node(), []
    node.register_handler(Load, handled.append)
    node.map_handlers["other"] = handled.append
    try:
        dispatch_line(node, line)
    except ServiceError as error:
        assert error.code == "bad_request" and not handled
    return handled, [number for number, _ in node.ports.events]


@MANY_EXAMPLES
@given(FIELDS)
def test_any_map_is_either_handled_as_its_type_or_refused_with_one_event(fields):
    handled, events = handle_line(json.dumps(fields).encode())
    assert events in ([], [1005], [1006])
    if events != []:
        assert handled == [] or events == [1005]
    for message in handled:
        if isinstance(message, Load):
            assert msgspec.convert(msgspec.to_builtins(message), Load) == message
            assert type(message.waiting) is int and type(message.runner) is str


@MANY_EXAMPLES
@given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
def test_any_bytes_are_refused_with_one_event(line):
    handled, events = handle_line(line)
    assert handled == [] and events == [1006]


@MANY_EXAMPLES
@given(st.text(max_size=12), st.integers(-(2**70), 2**70), st.lists(st.integers()), st.data())
def test_a_truncated_line_is_refused_and_the_complete_one_is_handled(runner, waiting, parts, data):
    line = write_line(Load(runner, waiting, 0.1, parts, **_envelope()))
    cut = data.draw(st.integers(1, len(line) - 2))
    assert handle_line(line[:cut]) == ([], [1006])
    assert handle_line(line) == ([Load(runner, waiting, 0.1, parts, **_envelope())], [])


@MANY_EXAMPLES
@given(st.text(max_size=12), st.integers(), st.lists(st.integers()), st.data())
def test_a_line_with_one_byte_changed_is_handled_as_its_type_or_refused(
    runner, waiting, parts, data
):
    line = bytearray(write_line(Load(runner, waiting, 0.1, parts, **_envelope())))
    line[data.draw(st.integers(0, len(line) - 1))] = data.draw(st.integers(0, 255))
    handled, events = handle_line(bytes(line))
    assert len(handled) + len(events) <= 1
    assert all(isinstance(message, Load) for message in handled) or events == []


# Decoding of documents accepts and refuses what the standard library does.


def read_with_standard_library(body):
    """Decode with the standard library, which decoded all documents before msgspec was used."""
    try:
        return json.loads(body.decode() if isinstance(body, bytes) else body)
    except (ValueError, RecursionError) as fault:
        return ServiceError(
            "bad_request", places=[{"place": ".", "fault": f"not JSON: {fault}"[:200]}]
        ).as_document()


def read_or_error(body):
    try:
        return read_json(body)
    except ServiceError as error:
        return error.as_document()


def assert_reads_like_standard_library(body):
    # repr distinguishes -0.0 from 0.0, and 1 from 1.0 and True, and is equal for two NaN.
    assert repr(read_or_error(body)) == repr(read_with_standard_library(body)), body


@pytest.mark.parametrize(
    "text",
    [
        '{"a":1,"a":2}',
        '{"a":{"b":1},"a":{"c":2}}',
        "NaN",
        "[Infinity,-Infinity]",
        "nan",
        "1e400",
        "-1e400",
        "1e-400",
        "1" + "0" * 30,
        "1" * 5000,
        "-" + "1" * 5000,
        "18446744073709551616",
        "-9223372036854775809",
        "123456789012345678901234567890.5",
        "-0",
        "-0.0",
        "1E5",
        "1.0",
        "01",
        "1.",
        ".5",
        "+1",
        "0x1",
        '"\\ud800"',
        '"\\ud83d\\ude00"',
        '"\\ude00\\ud83d"',
        '"\\u0000"',
        '"\\x"',
        '"a\u0001"',
        '"\u007f\u2028"',
        "\ufeff1",
        "\u00a01",
        " 1 ",
        "\f1",
        "1\u0000",
        "",
        " ",
        "[1,]",
        "{,}",
        '{"a":1}x',
        "'a'",
        "{a:1}",
        "// 1",
        "[" * 100_000,
        "[" * 500 + "]" * 500,
    ],
)
def test_an_unusual_document_is_read_like_the_standard_library_does(text):
    assert_reads_like_standard_library(text)
    assert_reads_like_standard_library(text.encode())


@MANY_EXAMPLES
@given(JSON, st.booleans())
def test_any_document_is_read_like_the_standard_library_does(document, is_ascii):
    text = json.dumps(document, ensure_ascii=is_ascii)
    assert_reads_like_standard_library(text)


@MANY_EXAMPLES
@given(st.from_regex(r"-?[0-9]{1,40}(\.[0-9]{1,40})?([eE][-+]?[0-9]{1,3})?", fullmatch=True))
def test_any_number_is_read_like_the_standard_library_does(text):
    assert_reads_like_standard_library(text)


@MANY_EXAMPLES
@given(st.binary(max_size=24).map(lambda inside: b'{"' + inside + b'":["' + inside + b'"]}'))
def test_bytes_that_may_not_be_utf_8_are_read_like_the_standard_library_does(body):
    assert_reads_like_standard_library(body)


@MANY_EXAMPLES
@given(st.text(alphabet='{}[]:,"\\ue0123456789.+- \ttrufalsn\ud800é', max_size=20))
def test_text_that_may_not_be_json_is_read_like_the_standard_library_does(text):
    assert_reads_like_standard_library(text)


# Messages of the registry

CONTACT = {"seat": "a", "incarnation": 2, "mark": 7}


@pytest.mark.parametrize(
    "line, is_valid",
    [
        ({"say": "image", "body": "{}", "value": {"mark": 3, "newer": [1]}}, True),
        ({"say": "image", "body": "{}", "value": {"mark": "3"}}, False),
        ({"say": "image", "body": "{}", "value": {}}, False),
        ({"say": "image", "body": "{}", "value": None}, False),
        ({"say": "image", "body": None, "value": {"mark": 3}}, False),
        ({"say": "contact_ask", "sent_us": 5}, True),
        ({"say": "contact_ask", "sent_us": "5"}, False),
        ({"say": "contact", "sent_us": 5, **CONTACT, "newer": 1}, True),
        ({"say": "contact", "sent_us": 5.5, **CONTACT}, False),
        ({"say": "contact", "sent_us": 5, **CONTACT, "seat": None}, False),
        ({"say": "keys", "start": "s", "place": 0, "keys": [["k", "by"]], "is_last": True}, True),
        ({"say": "keys", "start": "s", "place": 0, "keys": [["k"]], "is_last": True}, False),
        ({"say": "keys", "start": "s", "place": 0, "keys": [["k", 1]], "is_last": True}, False),
        ({"say": "keys", "start": "s", "place": 0, "keys": [], "is_last": "no"}, False),
    ],
)
def test_a_registry_refuses_malformed_messages(line, is_valid):
    node, handled = make_node(), []
    for message_type in (
        ConfigurationResponse,
        ClaimsResponse,
        QuorumContactRequest,
        QuorumContactResponse,
    ):
        node.register_handler(message_type, handled.append)
    dispatch_line(node, write_json({**line, **ENVELOPE}))
    assert len(handled) == is_valid
    assert [number for number, _ in node.ports.events] == ([] if is_valid else [1006])
    if is_valid and line["say"] == "image":
        assert handled[0].record == line["value"] and handled[0].version == line["value"]["mark"]


# Messages of the membership

RECORD = ["router-2", 5, "10.0.0.2:7000", "router", "north", "", 0, 3, True]


def make_member():
    node = make_node()
    node.bounds = Bounds()
    return node, Membership(node, "router", "north", [], 1)


@pytest.mark.parametrize(
    "message, line",
    [
        (make_hello(MemberRecord(*RECORD)), {"say": "hello", "fellow": RECORD, "version": 1}),
        (
            MemberList([MemberRecord(*RECORD)]),
            {"say": "members", "fellows": [RECORD], "is_asking": False},
        ),
        (
            MemberListDigest(MemberRecord(*RECORD), "d"),
            {"say": "digest", "fellow": RECORD, "digest": "d"},
        ),
        (Heartbeat(MemberRecord(*RECORD)), {"say": "beat", "fellow": RECORD}),
        (
            Suspicion("router-2", 5, True),
            {"say": "verdict", "about": "router-2", "incarnation": 5, "is_down": True},
        ),
        (Leave(), {"say": "bye"}),
    ],
)
def test_messages_of_the_membership_keep_their_wire_format(message, line):
    node = make_node()
    node.send("10.0.0.2:7000", message)
    [(_, written)] = node.ports.lines
    assert json.loads(written) == {**line, **ENVELOPE}


@pytest.mark.parametrize(
    "record, is_valid",
    [
        (RECORD, True),
        ([*RECORD, "of a newer version"], True),
        (RECORD[:-1], False),
        ([*RECORD[:5], None, *RECORD[6:]], False),
        ([*RECORD[:1], "5", *RECORD[2:]], False),
        ({"name": "router-2"}, False),
    ],
)
def test_a_member_record_may_have_more_fields_but_none_missing_or_malformed(record, is_valid):
    node, membership = make_member()
    envelope = {"name": "router-2", "back": "10.0.0.2:7000"}
    dispatch_line(node, write_json({"say": "beat", "fellow": record, **envelope}))
    assert ("router-2" in membership.peers) is is_valid
    assert [number for number, _ in node.ports.events] == ([1101] if is_valid else [1006])


@pytest.mark.parametrize(
    "fields, is_logged", [({"version": 1}, False), ({"version": 2}, True), ({}, True)]
)
def test_another_protocol_version_in_a_hello_is_logged_once(fields, is_logged):
    node, membership = make_member()
    envelope = {"name": "router-2", "back": "10.0.0.2:7000"}
    for _ in range(3):
        dispatch_line(node, write_json({"say": "hello", "fellow": RECORD, **fields, **envelope}))
    assert membership.peers["router-2"].protocol_version == fields.get("version", 0)
    logged = [facts for number, facts in node.ports.events if number == 1103]
    assert logged == (
        [{"fellow": "router-2", "version": fields.get("version", 0), "own": 1}] if is_logged else []
    )
    assert len(node.ports.lines) == 3


# Messages of the routers


@pytest.mark.parametrize(
    "line, is_valid",
    [
        ({"say": "books", "books": [["r-1", 7, 2, 900, 40, 1], ["r-2", 8, 0, 0, 0, 0]]}, True),
        ({"say": "books", "books": [["r-1", 7, 2, 900, 40, 1, [["part", 30]]]]}, True),
        ({"say": "books", "books": [["r-1", 7, 2, 900, 40, 1, [], "newer"]]}, True),
        ({"say": "books", "books": [["r-1", 7, 2, 900, 40]]}, False),
        ({"say": "books", "books": [["r-1", 7, 2, "900", 40, 1]]}, False),
        ({"say": "books", "books": [["r-1", 7, 2, 900, 40, 1, [["part"]]]]}, False),
        ({"say": "shun", "runner": ["r-1", 7], "span_us": 5}, True),
        ({"say": "shun", "runner": ["r-1"], "span_us": 5}, False),
        ({"say": "link", "pair": ["r-1", "r-2"], "zones": ["n", "s"], "factor": 3}, True),
        ({"say": "link", "pair": ["r-1", "r-2"], "zones": ["n", "s"], "factor": None}, False),
        ({"say": "want_explain", "request": "q"}, True),
        ({"say": "want_explain", "request": ["q"]}, False),
        ({"say": "explained", "request": "q", "record": None}, True),
        ({"say": "explained", "request": "q", "record": []}, False),
    ],
)
def test_a_router_refuses_malformed_messages(line, is_valid):
    node, handled = make_node(), []
    for message_type in (QueueViews, RunnerEjected, LinkSample, WantExplanation, Explanation):
        node.register_handler(message_type, handled.append)
    dispatch_line(node, write_json({**line, **ENVELOPE}))
    assert len(handled) == is_valid
    assert [number for number, _ in node.ports.events] == ([] if is_valid else [1006])


def test_a_queue_view_of_an_older_router_is_read_with_no_parts():
    reader = reader_of(QueueViews)
    line = {"say": "books", "books": [["r-1", 7, 2, 900, 40, 1]], **ENVELOPE}
    [view] = reader.read(write_json(line)).views
    assert view == QueueView("r-1", 7, 2, 900, 40, 1, ())


@pytest.mark.parametrize("name, message", samples().items())
def test_each_sample_message_is_decoded_as_it_was_encoded(name, message):
    assert reader_of(type(message)).read(write_line(message)) == message
    assert LineReader().read(write_line(message)) == json.loads(write_line(message))
