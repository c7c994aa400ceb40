"""The adapter to the platform: configuration, settings, and the interfaces to both sides."""

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
STANDARD_HEADERS = {"last-event-id", "retry-after", "request-id"}


def make_route(**overrides):
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
        **overrides,
    }


def make_document(*routes, **overrides):
    service = {
        "name": "pool-1",
        "health_path": "/health",
        "max_connections": 360,
        "engine": {"capacity": 64, "token_kv_bytes": 18432},
    }
    return {
        "revision": 7,
        "route_rules": list(routes or [make_route()]),
        "services": [service],
        **overrides,
    }


def test_no_package_contains_a_name_of_the_platform():
    platform_names = {
        value
        for name, value in vars(names).items()
        if name.isupper()
        and isinstance(value, str)
        and value.lower() not in STANDARD_HEADERS
        and not value.startswith("/etc")
    }
    platform_names |= {
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
            for word in platform_names
            if len(word) > 6 and re.search(rf"[\"'/]{re.escape(word.lower())}[\"'/?]", text)
        ]
    assert found == []


def test_a_platform_configuration_is_translated_into_a_valid_document():
    configuration = decode_configuration(translate_configuration(make_document(), 0.2, 43))
    kind = configuration.kinds["r-a1"]
    assert record_to_dict(kind.route) == {"host": "one.example", "prefix": "/a/"}
    assert kind.is_idempotent and kind.is_resumable and kind.max_attempts == 2
    assert (kind.ttft_us, kind.deadline_us, kind.max_gap_us) == (800_000, 8_000_000, 300_000)
    assert record_to_dict(configuration.retry_budget) == {"share": 0.2, "margin": 43}


def test_a_stream_that_cannot_be_resumed_is_run_once():
    configuration = decode_configuration(
        translate_configuration(make_document(make_route(resumable=False, max_attempts=3)), 0.2, 43)
    )
    assert configuration.kinds["r-a1"].is_idempotent is False


# A service beside a split was never looked at, and an empty split passed for a missing one.
@pytest.mark.parametrize("split", [[{"target_service": "pool-1", "weight": 1}], []])
def test_every_service_that_a_route_names_must_exist(split):
    with pytest.raises(ServiceError) as rejected:
        decode_configuration(
            translate_configuration(
                make_document(make_route(traffic_split=split, target_service="gone")), 0.2, 43
            )
        )
    (fault,) = rejected.value.detail["places"]
    assert fault["place"].startswith("kinds/r-a1/pools")


def test_an_empty_split_beside_a_service_has_no_weight_to_go_by():
    with pytest.raises(ServiceError) as rejected:
        translate_configuration(make_document(make_route(traffic_split=[])), 0.2, 43)
    assert rejected.value.detail["places"] == [
        {"place": "kinds/r-a1/pools", "fault": "the weights sum to 0"}
    ]


# Of two services with one name the last was read in place of the first, and both acknowledged.
def test_a_service_that_stands_twice_is_rejected():
    service = {"name": "pool-1", "max_connections": 360}
    with pytest.raises(ServiceError) as rejected:
        translate_configuration(make_document(services=[service, service]), 0.2, 43)
    assert rejected.value.detail["places"] == [{"place": "pools/pool-1", "fault": "stands twice"}]


def test_a_service_beside_a_split_gets_no_requests():
    split = [{"target_service": "pool-1", "weight": 3}]
    configuration = decode_configuration(
        translate_configuration(make_document(make_route(traffic_split=split)), 0.2, 43)
    )
    assert [record_to_dict(part) for part in configuration.kinds["r-a1"].pools] == [
        {"pool": "pool-1", "weight": 3},
        {"pool": "pool-1", "weight": 0},
    ]


@pytest.mark.parametrize(
    "invalid",
    [
        make_document(make_route(target_service="gone")),
        make_document(make_route(), make_route(name="r-b2")),
        make_document(make_route(traffic_split=[{"target_service": "pool-1", "weight": 0}])),
        make_document(make_route(timeout_ms=0)),
        make_document(make_route(timeout_ms="soon")),
        {"revision": 7, "services": []},
        make_document(services=[{}]),
    ],
)
def test_an_invalid_configuration_is_refused(invalid):
    with pytest.raises(ServiceError):
        decode_configuration(translate_configuration(invalid, 0.2, 43))


SERVICE = {"name": "pool-1", "max_connections": 360}
TENANT = {"name": "t-1", "api_keys": ["key"]}


def make_document_with_route(**fields):
    return make_document(make_route(**fields))


def make_document_with_service(**fields):
    return make_document(services=[{**SERVICE, **fields}])


def make_document_with_tenant(**fields):
    return make_document(tenants=[{**TENANT, **fields}])


# A value of another type passed for one that was left out, or was converted: "no" made a stream
# resumable, an empty text took the limit off a tenant, True was one millisecond.
@pytest.mark.parametrize(
    "invalid, place",
    [
        (make_document(services={}), "services"),
        (make_document(services=""), "services"),
        (make_document(services=None), "services"),
        (make_document(services=["pool-1"]), "services/0"),
        (make_document(route_rules={}), "route_rules"),
        (make_document(limits=[]), "limits"),
        (make_document(limits=0), "limits"),
        (make_document(limits="max_body_bytes"), "limits"),
        (make_document(limits={"idle_timeout_ms": True}), "limits/idle_timeout_ms"),
        (make_document(limits={"max_body_bytes": None}), "limits/max_body_bytes"),
        (make_document(tenants=""), "tenants"),
        (make_document(tenants={}), "tenants"),
        (make_document_with_tenant(rate_per_s=""), "tenants/0/rate_per_s"),
        (make_document_with_tenant(rate_per_s=[]), "tenants/0/rate_per_s"),
        (make_document_with_tenant(rate_per_s=False), "tenants/0/rate_per_s"),
        (make_document_with_tenant(burst_size=""), "tenants/0/burst_size"),
        (make_document_with_tenant(api_keys="key"), "tenants/0/api_keys"),
        (make_document_with_tenant(api_keys=[None]), "tenants/0/api_keys/0"),
        (make_document_with_service(engine=[]), "services/0/engine"),
        (make_document_with_service(engine="x"), "services/0/engine"),
        (make_document_with_service(engine={"capacity": "64"}), "services/0/engine/capacity"),
        (make_document_with_service(engine={"capacity": True}), "services/0/engine/capacity"),
        (make_document_with_service(max_connections=10**30), "services/0/max_connections"),
        (make_document_with_route(name=[]), "route_rules/0/name"),
        (make_document_with_route(route_type=None), "route_rules/0/route_type"),
        (make_document_with_route(resumable="no"), "route_rules/0/resumable"),
        (make_document_with_route(public="no"), "route_rules/0/public"),
        (make_document_with_route(public=0), "route_rules/0/public"),
        (make_document_with_route(timeout_ms=True), "route_rules/0/timeout_ms"),
        (make_document_with_route(timeout_ms="8"), "route_rules/0/timeout_ms"),
        (make_document_with_route(timeout_ms=float("inf")), "route_rules/0/timeout_ms"),
        (make_document_with_route(timeout_ms=float("nan")), "route_rules/0/timeout_ms"),
        (make_document_with_route(target_latency_ms="0"), "route_rules/0/target_latency_ms"),
        (make_document_with_route(target_latency_ms=-5), "route_rules/0/target_latency_ms"),
        (make_document_with_route(target_latency_ms=1e300), "route_rules/0/target_latency_ms"),
        (make_document_with_route(traffic_split=0), "route_rules/0/traffic_split"),
        (make_document_with_route(traffic_split={}), "route_rules/0/traffic_split"),
        (
            make_document_with_route(traffic_split=[{"target_service": "pool-1", "weight": True}]),
            "route_rules/0/traffic_split/0/weight",
        ),
        (make_document_with_route(priority=10**30), "route_rules/0/priority"),
    ],
)
def test_a_value_of_another_type_is_rejected_at_its_place(invalid, place):
    with pytest.raises(ServiceError) as rejected:
        translate_configuration(invalid, 0.2, 43)
    assert rejected.value.code == "plan_invalid"
    assert [fault["place"] for fault in rejected.value.detail["places"]] == [place]


@pytest.mark.parametrize("field", ["limits", "tenants"])
def test_a_part_that_is_null_counts_as_left_out(field):
    assert translate_configuration(make_document(**{field: None}), 0.2, 43) == (
        translate_configuration(make_document(), 0.2, 43)
    )


def test_only_requests_that_did_not_run_get_a_not_run_status():
    for code in CATALOGUE:
        assert (status_of(ServiceError(code, done="unknown")) == 502) and status_of(
            ServiceError(code, done="no")
        ) != 502


def test_a_tenant_over_its_quota_gets_status_429():
    assert status_of(ServiceError("quota_spent")) == 429
    assert status_of(ServiceError("quota_unknown")) == 503


def test_quota_bounds_are_read_where_the_settings_have_them():
    quota_settings = {"quota_window_s": 2.5, "quota_overage": 0.2, "quota_slack": 7}
    bounds = NodeSettings({**SETTINGS, "bounds": {**SETTINGS["bounds"], **quota_settings}}).bounds
    values = bounds.quota_window_us, bounds.quota_overage, bounds.quota_slack
    assert values == (2_500_000, 0.2, 7)
    bounds = NodeSettings(SETTINGS).bounds
    values = bounds.quota_window_us, bounds.quota_overage, bounds.quota_slack
    assert values == (5_000_000, 0.1, 20)


def test_only_a_not_run_header_or_status_421_means_not_run():
    assert (
        error_from_response(503, {}) is None
        and error_from_response(500, {}) is None
        and error_from_response(504, {}) is None
    )
    assert error_from_response(503, {names.NOT_RUN: "1"}).done == "no"
    assert error_from_response(421, {names.RUNNER: "i-1"}).done == "no"


def test_the_event_reader_returns_complete_events_with_their_numbers():
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


class EmptyRequest:
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
def test_malformed_size_headers_are_rejected(headers):
    request = EmptyRequest()
    request.call = Call(**headers)
    with pytest.raises(ServiceError) as raised:
        PlatformCallers().read(request)
    assert raised.value.code == "bad_request" and raised.value.status == 400


def test_sizes_and_prompt_parts_are_read_from_the_headers():
    request = EmptyRequest()
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


def test_the_deploy_file_names_programs_that_exist():
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
            tick_handlers=[],
            ports=SimpleNamespace(log=lambda number, **facts: self.logged.append(number)),
        )
        self.logged = []
        self.on_hangup = None


def test_changed_settings_or_a_sighup_add_the_new_seeds(tmp_path, monkeypatch):
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


def test_bounds_are_derived_from_the_settings_with_a_margin():
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
    assert 10 * settings.bounds.blob_wait_us < 2_000_000


@pytest.mark.parametrize(
    "missing", ["node_name", "bounds", "cloud_api", "internal_port_range", "seed_nodes"]
)
def test_settings_with_a_missing_key_are_rejected(missing):
    with pytest.raises(ServiceError) as raised:
        NodeSettings({key: value for key, value in SETTINGS.items() if key != missing})
    assert raised.value.code == "settings_invalid"


def test_the_build_takes_the_versions_that_the_tests_ran_with():
    pinned = set((ROOT / "constraints.txt").read_text().split())
    assert set((ROOT / "platform" / "requirements.txt").read_text().split()) <= pinned


class ResponseHandler:
    def __init__(self):
        self.calls = []

    def on_begin(self, run, after, head):
        self.calls.append(("begin", after, head[0]))

    def on_piece(self, piece):
        self.calls.append(("piece", piece.number))

    def on_done(self, piece):
        self.calls.append(("done",))

    def on_answer(self, status, headers, body):
        self.calls.append(("answer", status, body))

    def on_error(self, error, has_begun):
        self.calls.append((error.code, error.done, has_begun))


EVENTS = {"content-type": "text/event-stream", names.RESPONSE_SEAL: "s", names.REQUEST_ID: "r-1"}


def make_stream(written=0):
    handler = ResponseHandler()
    request = SimpleNamespace(written=written, attempt="a/1", caller_request_id="r-1")
    stream = Stream(request, handler, False, "i-1")
    stream.http_call = SimpleNamespace(close=lambda: handler.calls.append(("closed",)))
    return stream, handler


def test_an_answer_for_another_request_reaches_nobody():
    stream, handler = make_stream()
    stream.on_head(200, {**EVENTS, names.REQUEST_ID: "r-2"})
    stream.on_data(b"id: 1\ndata: x\n\n")
    stream.on_end()
    assert ("runner_lost", "unknown", True) in handler.calls
    assert not [call for call in handler.calls if call[0] in ("begin", "piece", "done", "answer")]


@pytest.mark.parametrize("status, more", [(200, EVENTS), (503, {names.NOT_RUN: "1"}), (421, {})])
@pytest.mark.parametrize("request_id", [None, "r-2"])
def test_an_answer_without_its_requests_id_reaches_nobody(status, more, request_id):
    stream, handler = make_stream()
    headers = {name: value for name, value in more.items() if name != names.REQUEST_ID}
    stream.on_head(
        status, headers if request_id is None else {**headers, names.REQUEST_ID: request_id}
    )
    stream.on_data(b"id: 1\ndata: x\n\n")
    stream.on_end()
    assert handler.calls == [("closed",), ("runner_lost", "unknown", True)]


@pytest.mark.parametrize("more", [EVENTS, {names.REQUEST_ID: "r-1"}])
def test_a_success_without_a_seal_reaches_nobody(more):
    stream, handler = make_stream()
    stream.on_head(
        200, {name: value for name, value in more.items() if name != names.RESPONSE_SEAL}
    )
    stream.on_data(b"id: 1\ndata: x\n\n")
    stream.on_end()
    assert handler.calls == [("closed",), ("runner_lost", "unknown", True)]


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_promise_that_the_runner_did_not_give_is_not_passed_on(status):
    stream, handler = make_stream()
    stream.on_head(status, {names.REQUEST_ID: "r-1", names.RESPONSE_SEAL: "s"})
    stream.on_end()
    assert handler.calls == [("closed",), ("runner_lost", "unknown", True)]


class ImmediateNetwork:
    """Answers each call at once with the same response."""

    def __init__(self, status, headers, body):
        self.response = status, headers, body

    def open(self, address, method, path, fields, body, handler, **options):
        status, headers, data = self.response
        handler.on_head(status, headers)
        handler.on_data(data)
        handler.on_end()
        return SimpleNamespace(close=lambda: None)


def make_node(network):
    return SimpleNamespace(
        ports=SimpleNamespace(network=network),
        now_us=lambda: 0,
        connections_at_most=lambda runner: None,
    )


def make_request(failed=(), handle=None):
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
    """Has no free connection to the runner; keeps whether a used one was allowed."""

    def __init__(self):
        self.keep_flags = []

    def open(self, address, method, path, fields, body, handler, keep_alive, **options):
        self.keep_flags.append(keep_alive)

    def soon(self, callback):
        callback()


@pytest.mark.parametrize("earlier_attempt", ["none", "failed", "prefill"])
def test_a_request_sent_to_a_runner_again_uses_a_fresh_connection(earlier_attempt):
    network, runner = BusyNetwork(), SimpleNamespace(name="i-1", address="10.0.0.1:1")
    request = make_request(
        failed=["i-1"] if earlier_attempt == "failed" else ["i-2"],
        handle=("h", runner) if earlier_attempt == "prefill" else None,
    )
    PlatformRunnerClient(make_node(network)).decode(runner, request, None, ResponseHandler())
    assert network.keep_flags == [earlier_attempt == "none"]


def test_a_call_without_a_free_connection_counts_as_not_sent():
    handler, runner = ResponseHandler(), SimpleNamespace(name="i-1", address="10.0.0.1:1")
    PlatformRunnerClient(make_node(BusyNetwork())).decode(runner, make_request(), None, handler)
    assert handler.calls == [("connections_taken", "no", True)]


def test_freeing_a_handle_closes_its_connection_when_the_runner_is_silent():
    delayed, closed = [], []

    class SilentNetwork:
        def open(self, *arguments, **options):
            return SimpleNamespace(close=lambda: closed.append(True))

        def soon(self, callback, delay_us=0):
            delayed.append((delay_us, callback))

    runner = SimpleNamespace(name="i-1", address="10.0.0.1:1")
    PlatformRunnerClient(make_node(SilentNetwork())).free(runner, "h")
    ((delay_us, callback),) = delayed
    assert 0 < delay_us <= 5_000_000 and not closed
    callback()
    assert closed


class RecordingNetwork:
    """Keeps the header fields of each call."""

    def __init__(self):
        self.sent = []

    def open(self, address, method, path, fields, body, handler, **options):
        self.sent.append(dict(fields))
        return SimpleNamespace(close=lambda: None)


def test_each_attempt_sends_the_remaining_deadline():
    """The client's own header is ignored; a later attempt has the same deadline as the first."""
    network, now_us = RecordingNetwork(), [0]
    node = make_node(network)
    node.now_us = lambda: now_us[0]
    runner = SimpleNamespace(name="i-1", address="10.0.0.1:1")
    request = make_request()
    request.deadline_us = 8_000_000
    request.fields = [("Deadline-Remaining", "99000"), ("Request-Priority", "0"), ("x", "y")]
    for at_us in (0, 600_000, 7_999_500):
        now_us[0] = at_us
        PlatformRunnerClient(node).decode(runner, request, None, ResponseHandler())
    left_ms = [int(fields["deadline-remaining"]) for fields in network.sent]
    assert left_ms == [8_000, 7_400, 1]
    assert all(fields["x"] == "y" for fields in network.sent)
    assert not any("request-priority" in map(str.lower, fields) for fields in network.sent)


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 2)])
def test_each_pool_of_a_split_gets_its_weights_share(weights):
    pools = [
        SimpleNamespace(pool=f"p-{index}", weight=weight) for index, weight in enumerate(weights)
    ]
    kind = SimpleNamespace(pools=pools)
    node = SimpleNamespace(ports=SimpleNamespace(random=random.Random(7)))
    drawn = Counter(RouterNode.choose_pool(node, kind) for _ in range(4_000))
    for pool in pools:
        assert abs(drawn[pool.pool] / 4_000 - pool.weight / sum(weights)) < 0.03


class OrderNetwork:
    """Answers each order with the same status, and keeps what was sent."""

    def __init__(self, status):
        self.status = status
        self.sent = []

    def open(self, address, method, path, fields, body, handler, **options):
        self.sent.append((address, method, path, dict(fields), json.loads(body)))
        handler.on_head(self.status, {})
        handler.on_end()
        return SimpleNamespace(close=lambda: None)


ORDER = {"phase": "prefill", "holder": "core-1", "fence": 7, "mark": 3, "incarnation": 1}


@pytest.mark.parametrize("num_orders", [None, 0, 4])
def test_an_order_names_its_runner_and_how_many_orders_came_before_it(num_orders):
    """A late order, after a restart or a later order of the same holder, must be rejected."""
    network, results = OrderNetwork(202), []
    runner = SimpleNamespace(name="i-1", address="10.0.0.1:1", num_orders=num_orders)
    PlatformRunnerClient(make_node(network)).order_phase(
        runner, ORDER, lambda *result: results.append(result)
    )
    ((address, method, path, fields, terms),) = network.sent
    assert (address, method, path) == ("10.0.0.1:1", "POST", "/order")
    assert fields[names.EXPECTED_RUNNER] == "i-1"
    assert terms["fence_token"] == 7
    counted = {} if num_orders is None else {"expected_count": num_orders}
    assert {name: terms[name] for name in terms if name == "expected_count"} == counted
    assert [error for error, *_ in results] == [None]


@pytest.mark.parametrize(
    "status, code", [(409, "runner_lost"), (412, "fence_old"), (421, "runner_lost")]
)
def test_an_order_that_a_runner_rejects_ends_with_an_error(status, code):
    runner, results = SimpleNamespace(name="i-1", address="10.0.0.1:1", num_orders=2), []
    PlatformRunnerClient(make_node(OrderNetwork(status))).order_phase(
        runner, ORDER, lambda *result: results.append(result)
    )
    assert [error.code for error, *_ in results] == [code]


def test_a_report_has_the_number_of_orders_that_the_runner_took():
    report = {"phase": "decode", "queued": 0, "active": 0, "kv_used": 0, "kv_capacity": 9}
    counts = []
    for more in ({"sequence": 3}, {}):
        body = json.dumps({**report, **more}).encode()
        PlatformRunnerClient(make_node(ImmediateNetwork(200, {}, body))).report(
            "10.0.0.1:1", lambda error, document, has_begun: counts.append(document["num_orders"])
        )
    assert counts == [3, None]


def test_an_event_id_with_too_many_digits_is_no_number():
    reader = EventReader(3)
    assert [piece.number for piece in reader.feed(b"id: " + b"9" * 5_000 + b"\n\n")] == [3]
    request = SimpleNamespace(id="r-1", call=Call(last_event_id="9" * 5_000))
    with pytest.raises(ServiceError, match="bad_resume"):
        PlatformCallers().resume_place(request)


@pytest.mark.parametrize("status, not_run", [(200, {}), (503, {names.NOT_RUN: "1"}), (421, {})])
@pytest.mark.parametrize("request_id, is_own", [("r-1", True), ("r-2", False), (None, False)])
def test_a_prefill_response_counts_only_under_its_own_id(status, not_run, request_id, is_own):
    headers = {**not_run, **({names.REQUEST_ID: request_id} if request_id else {})}
    node = make_node(ImmediateNetwork(status, headers, b'{"kv_handle":"h"}'))
    request = make_request()
    results = []
    PlatformRunnerClient(node).prefill(
        SimpleNamespace(name="i-1", address="10.0.0.1:1"),
        request,
        lambda *result: results.append(result),
    )
    ((error, handle, _),) = results
    if is_own:
        assert handle == ("h" if status == 200 else None)
        assert error is None or error.done == "no"
    else:
        assert handle is None and (error.code, error.done) == ("runner_lost", "unknown")


def test_a_stream_that_ends_within_an_event_does_not_look_complete():
    stream, handler = make_stream()
    stream.on_head(200, EVENTS)
    stream.on_data(b"id: 1\ndata: x\n\nid: 2\nda")
    stream.on_end()
    assert [call[0] for call in handler.calls] == ["begin", "piece", "closed", "runner_lost"]


def test_a_failure_of_the_runner_is_forwarded_and_a_refusal_is_not():
    stream, handler = make_stream()
    stream.on_head(500, {names.REQUEST_ID: "r-1"})
    stream.on_data(b"broken")
    stream.on_end()
    assert handler.calls == [("answer", 500, b"broken")]
    stream, handler = make_stream()
    stream.on_head(503, {names.REQUEST_ID: "r-1", names.NOT_RUN: "1"})
    stream.on_end()
    assert ("runner_full", "no", True) in handler.calls
