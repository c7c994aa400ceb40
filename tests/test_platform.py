import json
import random
import re
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import pytest

from linkhaven.api import CATALOGUE, ServiceError
from linkhaven.configuration import decode_configuration, record_to_dict
from linkhaven.platform import names
from linkhaven.platform.callers import PlatformCallers, status_of
from linkhaven.platform.programs import SettingsWatch
from linkhaven.platform.runners import (
    EventReader,
    PlatformRunnerClient,
    Stream,
    error_from_response,
)
from linkhaven.platform.settings import NodeSettings
from linkhaven.platform.translation import translate_configuration
from linkhaven.router import RouterNode

ROOT = Path(__file__).parents[1]
OURS = {"last-event-id", "retry-after", "request-id"}


def route(**given):
    return {
        "name": "r-a1",
        "hostname": "one.example",
        "path_prefix": "/a/",
        "route_type": "streaming",
        "timeout_ms": 8000,
        "target_latency_ms": 800,
        "priority": 0,
        "target_service": "pool-1",
        "max_attempts": 2,
        "resumable": True,
        "target_gap_ms": 300,
        **given,
    }


def document(*routes, **given):
    service = {
        "name": "pool-1",
        "health_path": "/health",
        "max_connections": 360,
        "engine": {"capacity": 64, "token_kv_bytes": 18432},
    }
    return {"revision": 7, "route_rules": list(routes or [route()]), "services": [service], **given}


def test_nothing_in_packages_says_a_name_of_the_platform():
    said = {
        value
        for name, value in vars(names).items()
        if name.isupper()
        and isinstance(value, str)
        and value.lower() not in OURS
        and not value.startswith("/etc")
    }
    said |= {
        "route_rules",
        "target_service",
        "traffic_split",
        "kv_handle",
        "token_count",
        "holder_id",
        "fence_token",
        "cloud_api",
    }
    found = []
    for path in (ROOT / "packages").rglob("*.py"):
        text = path.read_text().lower()
        found += [
            f"{path.name}: {word}"
            for word in said
            if len(word) > 6 and re.search(rf"[\"'/]{re.escape(word.lower())}[\"'/?]", text)
        ]
    assert found == []


def test_a_configuration_of_the_platform_is_a_plan_of_ours():
    configuration = decode_configuration(translate_configuration(document(), 0.2, 43))
    kind = configuration.kinds["r-a1"]
    assert record_to_dict(kind.route) == {"host": "one.example", "prefix": "/a/"}
    assert kind.is_idempotent and kind.is_resumable and kind.max_attempts == 2
    assert (kind.ttft_us, kind.deadline_us, kind.max_gap_us) == (800_000, 8_000_000, 300_000)
    assert record_to_dict(configuration.retry_budget) == {"share": 0.2, "margin": 43}


def test_a_stream_that_cannot_be_resumed_is_run_once():
    configuration = decode_configuration(
        translate_configuration(document(route(resumable=False, max_attempts=3)), 0.2, 43)
    )
    assert configuration.kinds["r-a1"].is_idempotent is False


@pytest.mark.parametrize(
    "wrong",
    [
        document(route(target_service="gone")),
        document(route(), route(name="r-b2")),
        document(route(traffic_split=[{"target_service": "pool-1", "weight": 0}])),
        document(route(timeout_ms=0)),
        document(route(timeout_ms="soon")),
        {"revision": 7, "services": []},
        document(services=[{}]),
    ],
)
def test_an_invalid_configuration_is_refused(wrong):
    with pytest.raises(ServiceError):
        decode_configuration(translate_configuration(wrong, 0.2, 43))


def test_only_what_did_not_run_is_refused_with_a_promise():
    for code in CATALOGUE:
        assert (status_of(ServiceError(code, done="unknown")) == 502) and status_of(
            ServiceError(code, done="no")
        ) != 502


def test_a_tenant_beyond_its_limit_is_told_so_by_its_own_status():
    assert status_of(ServiceError("quota_spent")) == 429
    assert status_of(ServiceError("quota_unknown")) == 503


def test_the_bounds_of_quotas_are_read_where_a_site_says_them():
    told = {"quota_window_s": 2.5, "quota_overage": 0.2, "quota_slack": 7}
    bounds = NodeSettings({**SETTINGS, "bounds": {**SETTINGS["bounds"], **told}}).bounds
    read = bounds.quota_window_us, bounds.quota_overage, bounds.quota_slack
    assert read == (2_500_000, 0.2, 7)
    bounds = NodeSettings(SETTINGS).bounds
    read = bounds.quota_window_us, bounds.quota_overage, bounds.quota_slack
    assert read == (5_000_000, 0.1, 20)


def test_only_a_runner_that_says_so_did_not_run_a_request():
    assert (
        error_from_response(503, {}) is None
        and error_from_response(500, {}) is None
        and error_from_response(504, {}) is None
    )
    assert error_from_response(503, {names.NOT_RUN: "1"}).done == "no"
    assert error_from_response(421, {names.RUNNER: "i-1"}).done == "no"


def test_events_are_passed_on_whole_with_their_numbers():
    reader = EventReader(0)
    pieces = reader.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    assert [(piece.number, piece.data) for piece in pieces] == [(1, b"id: 1\ndata: a\n\n")]
    assert [(piece.number, piece.data) for piece in reader.feed(b"ta: b\n\n")] == [
        (2, b"id: 2\ndata: b\n\n")
    ]
    assert reader.rest == b""


class Call:
    def __init__(self, **headers):
        self.method, self.path, self.fields, self.body = "POST", "/a/x", [], b""
        self.headers = {name.replace("_", "-"): value for name, value in headers.items()}


class Asked:
    pass


@pytest.mark.parametrize(
    "headers",
    [
        {"token_usage": "many"},
        {"token_usage": "1,2,3"},
        {"prompt_prefix": "ab:c"},
        {"deadline_remaining": "soon"},
        {"deadline_remaining": "inf"},
    ],
)
def test_sizes_that_are_no_numbers_get_a_clear_error(headers):
    request = Asked()
    request.call = Call(**headers)
    with pytest.raises(ServiceError) as told:
        PlatformCallers().read(request)
    assert told.value.code == "bad_request" and told.value.status == 400


def test_sizes_and_parts_are_as_the_caller_told_them():
    request = Asked()
    request.call = Call(
        host="one.example:80",
        token_usage="1460,80",
        prompt_prefix="5c1e:800,91bd:410,e440:250",
        deadline_remaining="8000",
    )
    PlatformCallers().read(request)
    assert (
        request.host,
        request.prompt_tokens,
        request.answer_tokens,
        request.caller_timeout_us,
    ) == (
        "one.example",
        1460,
        80,
        8_000_000,
    )
    assert request.parts == (("5c1e", 800), ("91bd", 410), ("e440", 250))


def test_the_deploy_file_names_programs_that_are_there():
    text = (ROOT / "deploy" / "system.toml").read_text()
    for program in re.findall(r"platform/\S+\.(?:py|sh)", text):
        assert (ROOT / program).exists()


SETTINGS = {
    "node_name": "edge-1",
    "zone": "a",
    "ip_address": "10.0.0.1",
    "bind_addresses": {"frontend": "10.0.0.1:80", "readiness": "10.0.0.1:81"},
    "internal_port_range": [7720, 7735],
    "seed_nodes": ["10.0.0.2:90", "10.0.0.3:90"],
    "bootstrap": False,
    "data_directory": None,
    "limits": {"disk_mb": 0},
    "cloud_api": {"address": "10.0.0.9:70"},
    "fault_tolerance": {"machines": 2},
    "bounds": {
        "retry_budget_ratio": 0.2,
        "retry_slack": 54,
        "grace_s": 8,
        "lease_ms": 3000,
        "contact_ms": 3000,
        "drain_ms": 3000,
        "config_apply_ms": 2000,
        "thaw_ms": 300,
    },
}


class Membership:
    def __init__(self):
        self.seeds = []

    def add_seeds(self, seeds):
        self.seeds += seeds


class EventLoop:
    def __init__(self):
        self.node = SimpleNamespace(
            membership=Membership(),
            systems=[],
            ports=SimpleNamespace(log=lambda number, **facts: self.logged.append(number)),
        )
        self.logged = []
        self.on_hangup = None


def test_settings_that_change_or_a_hangup_tell_the_ring_its_new_seeds(tmp_path, monkeypatch):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    monkeypatch.setenv(names.SETTINGS_VARIABLE, str(path))
    loop = EventLoop()
    watch = SettingsWatch(loop)
    watch.poll(2_000_000)
    assert loop.node.membership.seeds == []
    path.write_text(json.dumps({**SETTINGS, "seed_nodes": ["10.0.0.44:90"]}))
    watch.poll(4_000_000)
    assert loop.node.membership.seeds == ["10.0.0.44:7720"]
    loop.on_hangup()
    assert loop.node.membership.seeds == ["10.0.0.44:7720"] * 2
    path.write_text("{")
    watch.poll(6_000_000)
    assert loop.logged == [1005]


def test_bounds_become_terms_with_a_margin():
    settings = NodeSettings(SETTINGS)
    assert (
        settings.bounds.seats == 5
        and settings.bounds.lease_us == 3_000_000
        and settings.retry_margin < 54
    )
    assert (
        settings.bounds.drain_us < 8_000_000
        and settings.bounds.linger_us < settings.bounds.drain_us
    )
    assert settings.bounds.poll_us + settings.bounds.report_us < 3_000_000
    assert 10 * settings.bounds.body_wait_us < 2_000_000


@pytest.mark.parametrize(
    "lacking", ["node_name", "bounds", "cloud_api", "internal_port_range", "seed_nodes"]
)
def test_settings_that_lack_something_are_told(lacking):
    with pytest.raises(ServiceError) as told:
        NodeSettings({key: value for key, value in SETTINGS.items() if key != lacking})
    assert told.value.code == "settings_invalid"


def test_the_build_takes_the_versions_that_the_tests_ran_with():
    pinned = set((ROOT / "constraints.txt").read_text().split())
    assert set((ROOT / "platform" / "requirements.txt").read_text().split()) <= pinned


class ResponseHandler:
    def __init__(self):
        self.heard = []

    def on_begin(self, run, after, head):
        self.heard.append(("begin", after, head[0]))

    def on_piece(self, piece):
        self.heard.append(("piece", piece.number))

    def on_done(self, piece):
        self.heard.append(("done",))

    def on_answer(self, status, headers, body):
        self.heard.append(("answer", status, body))

    def on_error(self, error, has_begun):
        self.heard.append((error.code, error.done, has_begun))


EVENTS = {"content-type": "text/event-stream", names.RESPONSE_SEAL: "s", names.REQUEST_ID: "r-1"}


def stream(written=0):
    handler = ResponseHandler()
    request = SimpleNamespace(written=written, attempt="a/1", caller_request_id="r-1")
    part = Stream(request, handler, False, "i-1")
    part.http_call = SimpleNamespace(close=lambda: handler.heard.append(("closed",)))
    return part, handler


def test_an_answer_for_another_request_reaches_nobody():
    part, handler = stream()
    part.on_head(200, {**EVENTS, names.REQUEST_ID: "r-2"})
    part.on_data(b"id: 1\ndata: x\n\n")
    part.on_end()
    assert ("runner_lost", "unknown", True) in handler.heard
    assert not [one for one in handler.heard if one[0] in ("begin", "piece", "done", "answer")]


@pytest.mark.parametrize("status, more", [(200, EVENTS), (503, {names.NOT_RUN: "1"}), (421, {})])
@pytest.mark.parametrize("told", [None, "r-2"])
def test_an_answer_without_its_requests_id_reaches_nobody(status, more, told):
    part, handler = stream()
    headers = {name: value for name, value in more.items() if name != names.REQUEST_ID}
    part.on_head(status, headers if told is None else {**headers, names.REQUEST_ID: told})
    part.on_data(b"id: 1\ndata: x\n\n")
    part.on_end()
    assert handler.heard == [("closed",), ("runner_lost", "unknown", True)]


@pytest.mark.parametrize("more", [EVENTS, {names.REQUEST_ID: "r-1"}])
def test_a_success_without_a_seal_reaches_nobody(more):
    part, handler = stream()
    part.on_head(200, {name: value for name, value in more.items() if name != names.RESPONSE_SEAL})
    part.on_data(b"id: 1\ndata: x\n\n")
    part.on_end()
    assert handler.heard == [("closed",), ("runner_lost", "unknown", True)]


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_promise_that_the_runner_did_not_give_is_not_passed_on(status):
    part, handler = stream()
    part.on_head(status, {names.REQUEST_ID: "r-1", names.RESPONSE_SEAL: "s"})
    part.on_end()
    assert handler.heard == [("closed",), ("runner_lost", "unknown", True)]


class ReadWire:
    """A wire over which a read is answered at once."""

    def __init__(self, status, headers, body):
        self.told = status, headers, body

    def open(self, address, method, path, fields, body, handler, **more):
        status, headers, data = self.told
        handler.on_head(status, headers)
        handler.on_data(data)
        handler.on_end()
        return SimpleNamespace(close=lambda: None)


def node_over(wire):
    return SimpleNamespace(
        ports=SimpleNamespace(network=wire),
        now_us=lambda: 0,
        connections_at_most=lambda runner: None,
    )


def request_to_send(failed=(), handle=None):
    return SimpleNamespace(
        call=SimpleNamespace(headers={}),
        tenant=None,
        caller_request_id="r-1",
        fields=[],
        method="POST",
        path="/",
        body=b"",
        run=None,
        written=0,
        attempt="a/1",
        deadline_us=1_000,
        failed=list(failed),
        handle=handle,
    )


class BusyNetwork:
    """A wire to a runner to which all connections are busy."""

    def __init__(self):
        self.kept = []

    def open(self, address, method, path, fields, body, handler, keep_alive, **more):
        self.kept.append(keep_alive)

    def soon(self, deed):
        deed()


@pytest.mark.parametrize("place", ["nowhere", "failed", "read"])
def test_what_comes_back_to_a_runner_goes_over_a_fresh_connection(place):
    wire, runner = BusyNetwork(), SimpleNamespace(name="i-1", address="10.0.0.1:1")
    request = request_to_send(
        failed=["i-1"] if place == "failed" else ["i-2"],
        handle=("h", runner) if place == "read" else None,
    )
    PlatformRunnerClient(node_over(wire)).decode(runner, request, None, ResponseHandler())
    assert wire.kept == [place == "nowhere"]


def test_a_call_for_which_no_connection_was_free_was_not_sent_and_says_nothing_of_the_runner():
    handler, runner = ResponseHandler(), SimpleNamespace(name="i-1", address="10.0.0.1:1")
    PlatformRunnerClient(node_over(BusyNetwork())).decode(runner, request_to_send(), None, handler)
    assert handler.heard == [("connections_taken", "no", True)]


def test_a_runner_that_never_answers_to_freed_memory_keeps_no_connection():
    later, closed = [], []

    class SilentWire:
        def open(self, *told, **more):
            return SimpleNamespace(close=lambda: closed.append(True))

        def soon(self, deed, delay_us=0):
            later.append((delay_us, deed))

    runner = SimpleNamespace(name="i-1", address="10.0.0.1:1")
    PlatformRunnerClient(node_over(SilentWire())).free(runner, "h")
    ((delay_us, deed),) = later
    assert 0 < delay_us <= 5_000_000 and not closed
    deed()
    assert closed


class SendWire:
    """Keeps the fields of what is sent."""

    def __init__(self):
        self.sent = []

    def open(self, address, method, path, fields, body, handler, **more):
        self.sent.append(dict(fields))
        return SimpleNamespace(close=lambda: None)


def test_each_send_hands_on_the_time_that_is_left_and_no_more():
    """Whatever the client wrote; a send that comes later ends no later than the first."""
    wire, now_us = SendWire(), [0]
    node = node_over(wire)
    node.now_us = lambda: now_us[0]
    runner = SimpleNamespace(name="i-1", address="10.0.0.1:1")
    request = request_to_send()
    request.deadline_us = 8_000_000
    request.fields = [("Deadline-Remaining", "99000"), ("Request-Priority", "0"), ("x", "y")]
    for at_us in (0, 600_000, 7_999_500):
        now_us[0] = at_us
        PlatformRunnerClient(node).decode(runner, request, None, ResponseHandler())
    left_ms = [int(fields["deadline-remaining"]) for fields in wire.sent]
    assert left_ms == [8_000, 7_400, 1]
    assert all(fields["x"] == "y" for fields in wire.sent)
    assert not any("request-priority" in map(str.lower, fields) for fields in wire.sent)


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 2)])
def test_each_part_of_a_split_has_its_weights_share(weights):
    pools = [SimpleNamespace(pool=f"p-{place}", weight=one) for place, one in enumerate(weights)]
    kind = SimpleNamespace(pools=pools)
    node = SimpleNamespace(ports=SimpleNamespace(random=random.Random(7)))
    drawn = Counter(RouterNode.choose_pool(node, kind) for _ in range(4_000))
    for pool in pools:
        assert abs(drawn[pool.pool] / 4_000 - pool.weight / sum(weights)) < 0.03


class OrderWire:
    """Answers each order with one status, and keeps what was sent."""

    def __init__(self, status):
        self.status = status
        self.sent = []

    def open(self, address, method, path, fields, body, handler, **more):
        self.sent.append((address, method, path, dict(fields), json.loads(body)))
        handler.on_head(self.status, {})
        handler.on_end()
        return SimpleNamespace(close=lambda: None)


ORDER = {"phase": "prefill", "holder": "core-1", "fence": 7, "mark": 3, "incarnation": 1}


@pytest.mark.parametrize("num_orders", [None, 0, 4])
def test_an_order_names_its_runner_and_how_many_orders_came_before_it(num_orders):
    """It may come late: after the runner's restart, or after a later order of the same holder."""
    wire, told = OrderWire(202), []
    runner = SimpleNamespace(name="i-1", address="10.0.0.1:1", num_orders=num_orders)
    PlatformRunnerClient(node_over(wire)).order_phase(
        runner, ORDER, lambda *words: told.append(words)
    )
    ((address, method, path, fields, terms),) = wire.sent
    assert (address, method, path) == ("10.0.0.1:1", "POST", "/order")
    assert fields[names.EXPECTED_RUNNER] == "i-1"
    assert terms["fence_token"] == 7
    counted = {} if num_orders is None else {"expected_count": num_orders}
    assert {name: terms[name] for name in terms if name == "expected_count"} == counted
    assert [error for error, *_ in told] == [None]


@pytest.mark.parametrize(
    "status, code", [(409, "runner_lost"), (412, "fence_old"), (421, "runner_lost")]
)
def test_an_order_that_a_runner_does_not_take_is_refused(status, code):
    runner, told = SimpleNamespace(name="i-1", address="10.0.0.1:1", num_orders=2), []
    PlatformRunnerClient(node_over(OrderWire(status))).order_phase(
        runner, ORDER, lambda *words: told.append(words)
    )
    assert [error.code for error, *_ in told] == [code]


def test_a_report_tells_how_many_orders_a_runner_has_taken():
    report = {"phase": "decode", "queued": 0, "active": 0, "kv_used": 0, "kv_capacity": 9}
    told = []
    for more in ({"sequence": 3}, {}):
        body = json.dumps({**report, **more}).encode()
        PlatformRunnerClient(node_over(ReadWire(200, {}, body))).report(
            "10.0.0.1:1", lambda error, document, has_begun: told.append(document["num_orders"])
        )
    assert told == [3, None]


def test_a_number_without_end_is_no_number():
    reader = EventReader(3)
    assert [piece.number for piece in reader.feed(b"id: " + b"9" * 5_000 + b"\n\n")] == [3]
    request = SimpleNamespace(id="r-1", call=Call(last_event_id="9" * 5_000))
    with pytest.raises(ServiceError, match="bad_resume"):
        PlatformCallers().resume_place(request)


@pytest.mark.parametrize("status, not_run", [(200, {}), (503, {names.NOT_RUN: "1"}), (421, {})])
@pytest.mark.parametrize("told, is_own", [("r-1", True), ("r-2", False), (None, False)])
def test_a_read_is_answered_under_its_own_id_only(status, not_run, told, is_own):
    headers = {**not_run, **({names.REQUEST_ID: told} if told else {})}
    node = node_over(ReadWire(status, headers, b'{"kv_handle":"h"}'))
    request = request_to_send()
    heard = []
    PlatformRunnerClient(node).prefill(
        SimpleNamespace(name="i-1", address="10.0.0.1:1"), request, lambda *told: heard.append(told)
    )
    ((error, handle, _),) = heard
    if is_own:
        assert handle == ("h" if status == 200 else None)
        assert error is None or error.done == "no"
    else:
        assert handle is None and (error.code, error.done) == ("runner_lost", "unknown")


def test_a_stream_that_ends_within_an_event_does_not_look_complete():
    part, handler = stream()
    part.on_head(200, EVENTS)
    part.on_data(b"id: 1\ndata: x\n\nid: 2\nda")
    part.on_end()
    assert [one[0] for one in handler.heard] == ["begin", "piece", "closed", "runner_lost"]


def test_a_failure_of_the_runner_is_the_callers_answer_and_a_refusal_is_not():
    part, handler = stream()
    part.on_head(500, {names.REQUEST_ID: "r-1"})
    part.on_data(b"broken")
    part.on_end()
    assert handler.heard == [("answer", 500, b"broken")]
    part, handler = stream()
    part.on_head(503, {names.REQUEST_ID: "r-1", names.NOT_RUN: "1"})
    part.on_end()
    assert ("runner_full", "no", True) in handler.heard
