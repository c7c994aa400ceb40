"""A router with the platform's interfaces, beside a simulated core, and scripted runners."""

import json

from linkhaven.platform import names
from linkhaven.platform.callers import PlatformCallers
from linkhaven.platform.runners import PlatformRunnerClient
from linkhaven.platform.translation import translate_configuration
from linkhaven.router import RouterNode
from linkhaven.runtime import Bounds, Call
from linkhaven.stage.core import SimCore
from linkhaven.stage.world import Host

SECOND = 1_000_000
KEY, OTHER_KEY, NO_KEY = "key-of-one", "key-of-two", "key-of-nobody"
TENANTS = ({"name": "t-1", "api_keys": [KEY]}, {"name": "t-2", "api_keys": [OTHER_KEY]})
SETTINGS = {"plan_stale_us": None, "roster_stale_us": None, "retry_least_us": 100_000}
EVENT = b"id: %d\ndata: x\n\n"


def route(name, **given):
    return {
        "name": name,
        "hostname": "desk.example",
        "path_prefix": f"/{name}/",
        "route_type": "streaming",
        "timeout_ms": 8_000,
        "target_latency_ms": 800,
        "priority": 0,
        "target_service": "pool-1",
        "max_attempts": 3,
        "resumable": True,
        **given,
    }


ROUTES = (route("kept"), route("open", public=True))


def configuration(tenants=TENANTS, routes=ROUTES):
    """Return a configuration document of the platform; None: without tenants."""
    engine = {"capacity": 64, "token_kv_bytes": 18_432}
    service = {"name": "pool-1", "max_connections": 360, "engine": engine}
    source = {"route_rules": list(routes), "services": [service]}
    return source if tenants is None else {**source, "tenants": list(tenants)}


class ClientCall(Call):
    """A client's request and the answer to it."""

    __slots__ = ("fields", "status", "answer_headers", "answer_body", "was_cut")

    def __init__(self, path, fields):
        headers = {}
        for name, value in fields:
            name = name.lower()
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
        super().__init__("POST", path, headers, b"{}")
        self.fields = list(fields)
        self.status = None
        self.answer_headers = {}
        self.answer_body = b""
        self.was_cut = False

    def answer(self, status, headers, body):
        self.begin(status, headers)
        self.write(body)
        self.finish()

    def begin(self, status, headers):
        self.is_begun = True
        self.status, self.answer_headers = status, dict(headers)

    def write(self, data):
        self.answer_body += data
        return True

    def finish(self):
        self.is_ended = True

    def cut(self):
        self.is_ended = self.was_cut = True

    def code(self):
        """Return the code of the error in the answer."""
        return json.loads(self.answer_body)["code"]


class RunnerCall:
    """A request as a runner received it, with the router's handler for the answer."""

    def __init__(self, address, method, path, fields, handler):
        self.address, self.method, self.path, self.handler = address, method, path, handler
        self.fields = fields
        self.headers = {name.lower(): value for name, value in fields}
        self.is_closed = False

    def close(self):
        self.is_closed = True

    def answer(self, status, body=b"", **headers):
        """Send a whole answer, with the runner's seal."""
        self.begin(status, **headers)
        self.handler.on_data(body)
        self.handler.on_end()

    def begin(self, status, **headers):
        extra_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        own_headers = {
            names.REQUEST_ID: self.headers.get(names.REQUEST_ID),
            names.RESPONSE_SEAL: "s",
        }
        self.handler.on_head(status, {**own_headers, **extra_headers})

    def begin_stream(self, *numbers):
        self.begin(200, content_type="text/event-stream")
        for number in numbers:
            self.handler.on_data(EVENT % number)

    def give_handle(self):
        self.answer(200, json.dumps({"kv_handle": "h"}).encode())


class RunnerNetwork:
    """The network of a router: messages go through the simulation, HTTP calls to the test."""

    def __init__(self, network, clock):
        self.send, self.reconnect, self.clock = network.send, network.reconnect, clock
        self.calls = []

    def open(self, address, method, path, fields, body, handler, **more):
        call = RunnerCall(address, method, path, fields, handler)
        self.calls.append(call)
        return call

    def soon(self, action, delay_us=0):
        self.clock.call_in(delay_us, action)


class LossyNetwork:
    """A network that loses a share of the messages to some addresses."""

    def __init__(self, network, destinations, share, random):
        self.network, self.destinations = network, destinations
        self.share, self.random = share, random

    def send(self, address, message):
        if address not in self.destinations or self.random() >= self.share:
            self.network.send(address, message)

    def __getattr__(self, name):
        return getattr(self.network, name)


def runner_record(name, phase):
    """Return a runner as the runner list has it."""
    number = name.rpartition("-")[2]
    return {
        "name": name,
        "address": f"10.2.0.{number}:80",
        "zone": "z",
        "incarnation": 1,
        "pool": "pool-1",
        "slots": 64,
        "phase": phase,
        "queued": 0,
        "running": 0,
        "kv_used": 0,
        "kv_total": 400_000,
        "mark": 0,
        "fence": 0,
        "is_leaving": False,
        "is_listed": True,
        "is_dark": False,
        "age_us": 0,
    }


class ListedRouter(RouterNode):
    """A router that gets its runner list from the test and ignores the core's."""

    __slots__ = ()

    def on_watch_response(self, message, sent_us):
        listless = {name: section for name, section in message.items() if name != "roster"}
        super().on_watch_response(listless, sent_us)


class KeyedRouter:
    """A simulated core, a router, and the requests that reach the router's runners."""

    def __init__(self, seed=1, prefills=1, tenants=TENANTS, routes=ROUTES, **bounds):
        self.bounds = {**SETTINGS, **bounds}
        self.core = SimCore(seed, **self.bounds).bootstrap(3)
        assert self.core.wait_voting(3)
        self.revision = 0
        self.prefills = prefills
        self.routes = routes
        self.network = None
        self.serial = 0
        self.host = Host(self.core.world, "edge-1", "z", "10.5.0.1:7000", self._build)
        self.start()
        self.put(tenants, routes)

    def _build(self, host, ports):
        self.network = ports.network = RunnerNetwork(ports.network, ports.clock)
        seeds = [machine.address for machine in self.core.machines.values()]
        return ListedRouter(
            host.name,
            host.address,
            ports,
            host.zone,
            seeds,
            host.wall_us() + host.starts,
            bounds=Bounds(**self.bounds),
            callers=PlatformCallers(),
            make_runner_client=PlatformRunnerClient,
        )

    def start(self):
        """Start the router, or restart it."""
        self.host.start()
        self.list_runners()

    def list_runners(self):
        """Give the router a new list in which all runners accept work."""
        self.serial += 1
        prefill_records = [
            runner_record(f"i-{place + 1}", "prefill") for place in range(self.prefills)
        ]
        decode_records = [runner_record(f"i-{place}", "decode") for place in (11, 12, 13)]
        document = {
            "fence": 1,
            "serial": self.serial,
            "age_us": 0,
            "runners": prefill_records + decode_records,
        }
        self.node.roster.take(document, self.node.now_us())

    def allow_retries(self):
        """Fill the retry budget, so that the router may retry a few times."""
        extra = self.node.retry_budget
        extra.apply_grant(10, 1, self.node.now_us() + 60 * SECOND)
        for _ in range(20):
            extra.earn("pool-1")

    @property
    def node(self):
        return self.host.node

    @property
    def sent(self):
        """Requests that reached runners, without load reports and freed handles."""
        return [call for call in self.network.calls if call.method == "POST"]

    def put(self, tenants=TENANTS, routes=ROUTES, wait=True, name=None):
        """Put the next version; with `wait`, wait until the router has applied it."""
        base, self.revision = self.revision, self.revision + 1
        document = translate_configuration(configuration(tenants, routes), 0.2, 10)
        text = f"text {self.revision}"
        results = self.core.put(base, self.revision, text, document, name)
        assert results and results[0][0] is None
        if wait:
            self.run(SECOND)
            assert self.node.snapshot.configuration.tenants == self.in_force().tenants

    def in_force(self):
        """Return the configuration that the core has applied."""
        return next(iter(self.core.machines.values())).node.snapshot.configuration

    def run(self, time_us):
        self.core.world.run_for(time_us)

    def lose_messages(self, share):
        """Lose this share of the messages between router and core, at random."""
        random, machines = self.core.world.dice.random, self.core.machines.values()
        core = {machine.address for machine in machines}
        for host, destinations in (
            (self.host, core),
            *((machine, {self.host.address}) for machine in machines),
        ):
            ports = host.node.ports
            ports.network = LossyNetwork(ports.network, destinations, share, random)

    def cut_off(self):
        """Partition the router from every replica."""
        for machine in self.core.machines.values():
            self.core.world.cut([self.host.name], [machine.name])

    def ask(self, *keys, route="kept", id="r-1", wait_us=100_000, **headers):
        """Send a request with each key in a header of its own; return its call."""
        fields = [("Host", "desk.example"), ("Request-Id", id), ("Token-Usage", "100,4")]
        fields += [("Api-Key", key) for key in keys]
        fields += [(name.replace("_", "-").title(), value) for name, value in headers.items()]
        call = ClientCall(f"/{route}/x", fields)
        self.node.serve_request(call)
        self.run(wait_us)
        return call
