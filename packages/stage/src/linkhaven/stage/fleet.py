"""The simulated deployments and the fleet that a run consists of."""

import random

from linkhaven.controller import SINGLETON_ROLES, ControllerNode
from linkhaven.router import RouterNode
from linkhaven.runtime import read_json

from .people import Caller, Operator
from .standins import Speeds, StandInPlatform, StandInRunner
from .tenants import TenantPopulation, usual_tenants
from .world import Host, SimDisk, World

SECOND = 1_000_000
FILLER = "seat plan audit lecture chapter clause review licence "
LISTED_LATE_US = 1_500_000  # how long a router that is down stays listed
COME_BACK_MOST_S = 20  # longest retry-after that a caller waits for
SHARDS_DIVIDED_US = 6 * SECOND
"""After this time the core has divided the shards of tenants evenly. A shard that moves is in
its rest period meanwhile."""


def make_prompt(tokens, kind=""):
    """A prompt of about `tokens` tokens. Prompts of a kind share a long prefix; the caller's own
    words come last."""
    filler = f"{kind} {FILLER}"
    return (filler * (tokens * 4 // len(filler) + 1))[: max(1, tokens * 4 - 12)]


class Deployment:
    """A customer's installation: its zones, machine counts, plan and usual load.

    `mix` maps a kind to its share of the requests and its prompt and answer lengths in tokens;
    `rate` is the usual number of requests a second. The first `prefills` runners begin in the
    prefill phase.
    """

    __slots__ = (
        "name",
        "zones",
        "routers",
        "runners",
        "prefills",
        "kinds",
        "groups",
        "mix",
        "rate",
        "tenants",
    )

    def __init__(
        self, name, zones, routers, runners, prefills, groups, kinds, mix, rate, tenants=()
    ):
        self.name = name
        self.zones = zones
        self.routers = routers
        self.runners = runners
        self.prefills = prefills
        self.groups = groups
        self.kinds = kinds
        self.mix = mix
        self.rate = rate
        self.tenants = tenants

    def plan(self, **changed):
        """The plan of this deployment, with top-level parts replaced by `changed`."""
        plan = {
            "groups": self.groups,
            "kinds": self.kinds,
            "fleet": {"routers": self.routers},
            "extra": {"share": 0.2, "margin": self.routers},
        }
        if self.tenants:
            plan["tenants"] = TenantPopulation(self.tenants).document()
        plan.update(changed)
        return plan


def _kind(group, ttft_s, tpot_ms, deadline_s, prompt, answer, **more):
    return {
        "group": group,
        "ttft_us": int(ttft_s * SECOND),
        "tpot_us": tpot_ms * 1000,
        "deadline_us": deadline_s * SECOND,
        "prompt_tokens": prompt,
        "answer_tokens": answer,
        **more,
    }


def _group(tokens, weight=1.0):
    return {"credit": {"tokens": tokens, "period_us": 10 * SECOND}, "weight": weight}


LICENSING = Deployment(
    "licensing",
    ("ba-dinh", "cau-giay", "long-bien"),
    7,
    5,
    2,
    {"audit": _group(300_000), "seats": _group(200_000), "entitlement": _group(100_000)},
    {
        "audit-digest": _kind("audit", 4, 60, 60, 16_000, 800, resumable=True),
        "seat-question": _kind("seats", 1.5, 60, 30, 4_000, 400, resumable=True),
        "entitlement-check": _kind("entitlement", 1, 80, 10, 2_000, 8, repeatable=False),
    },
    {
        "seat-question": (0.6, 400, 120),
        "entitlement-check": (0.3, 300, 4),
        "audit-digest": (0.1, 6_000, 400),
    },
    6.0,
)

ARCHIVE = Deployment(
    "archive",
    ("north-quay", "harbour", "east-shore", "island"),
    9,
    9,
    3,
    {"faculty": _group(600_000), "editors": _group(400_000), "voices": _group(200_000)},
    {
        "lecture-summary": _kind("faculty", 5, 60, 60, 16_000, 800, resumable=True),
        "chapter-heading": _kind("editors", 1.5, 60, 30, 4_000, 400, resumable=True),
        "voice-flag": _kind("voices", 1, 80, 10, 2_000, 8, repeatable=False),
    },
    {
        "chapter-heading": (0.6, 400, 120),
        "voice-flag": (0.3, 300, 4),
        "lecture-summary": (0.1, 6_000, 400),
    },
    12.0,
)

LICENSING_TENANTS = Deployment(
    "licensing-tenants",
    LICENSING.zones,
    LICENSING.routers,
    LICENSING.runners,
    LICENSING.prefills,
    LICENSING.groups,
    {
        **LICENSING.kinds,
        "help-page": _kind("seats", 1.5, 60, 30, 4_000, 400, resumable=True, public=True),
    },
    {**LICENSING.mix, "help-page": (0.1, 200, 20)},
    LICENSING.rate,
    usual_tenants(LICENSING.rate),
)

DEPLOYMENTS = {
    "licensing": LICENSING,
    "archive": ARCHIVE,
    "licensing-tenants": LICENSING_TENANTS,
}


class SimFleet:
    """A whole deployment in a simulated world: core, edge, runners, platform, callers and
    operators.

    `phases` holds the phase of runners added during a run, `gone` since when a router is down,
    `crowded` the extra weight of zones in the callers' choice, `former` core machines that were
    replaced while frozen.
    """

    __slots__ = (
        "world",
        "deployment",
        "registries",
        "routers",
        "runners",
        "platform",
        "caller",
        "operators",
        "seeds",
        "is_loading",
        "load_dice",
        "runner_given",
        "prompts",
        "moved",
        "rate",
        "mix",
        "speeds",
        "plan",
        "former",
        "phases",
        "keyed",
        "crowded",
        "gone",
        "returned",
        "comes_back",
        "tenants",
    )

    def __init__(
        self,
        deployment,
        seed,
        speeds=None,
        runner_given=None,
        plan=None,
        routers=None,
        platform_lag_us=500_000,
    ):
        """Build the hosts of a deployment; `start` starts them. `speeds` and `runner_given` go to
        the stand-in runners."""
        self.world = World(seed)
        self.load_dice = random.Random(seed)
        self.deployment = deployment
        self.speeds = speeds or Speeds()
        self.runner_given = runner_given or {}
        self.rate = deployment.rate
        self.mix = dict(deployment.mix)
        self.plan = plan or deployment.plan()
        self.is_loading = False
        self.prompts = {}
        self.moved = 0
        self.former = []
        self.phases = {}
        self.keyed = 0
        self.crowded = {}
        self.gone = {}
        self.returned = set()
        self.comes_back = True
        self.tenants = TenantPopulation(deployment.tenants) if deployment.tenants else None
        zones = deployment.zones
        self.registries = {}
        self.routers = {}
        self.runners = {}
        self.seeds = [f"10.0.0.{place + 1}:7000" for place in range(3)]
        self.platform = self._host(
            "platform", zones[0], "10.9.0.1:80", self._build_platform(platform_lag_us)
        )
        for place, seat in enumerate("abc"):
            self.registries[seat] = self._host(
                f"core-{seat}",
                zones[place % len(zones)],
                self.seeds[place],
                self._build_registry(seat),
                SimDisk(self.world),
            )
        for place in range(routers or deployment.routers):
            name = f"edge-{place + 1}"
            self.routers[name] = self._host(
                name, zones[place % len(zones)], f"10.1.0.{place + 1}:7000", self._build_router
            )
        for place in range(deployment.runners):
            self._add_runner(
                f"runner-{place + 1}", zones[place % len(zones)], f"10.2.0.{place + 1}:80"
            )
        self.caller = self._host("callers", "outside", "10.8.0.1:1", self._build_caller)
        self.operators = [
            self._host(f"operator-{n}", zones[0], f"10.8.1.{n}:1", self._build_operator)
            for n in (1, 2)
        ]

    def _host(self, name, zone, address, build, disk=None):
        return Host(self.world, name, zone, address, build, disk)

    def _build_registry(self, seat, seeds=None):
        def build(host, ports):
            return ControllerNode(
                host.name,
                host.address,
                ports,
                host.zone,
                seeds or self.seeds,
                host.wall_us() + host.starts,
                seat,
                self.platform.address,
            )

        return build

    def live_seeds(self):
        """Up to three addresses of running processes, the seeds of a machine that is added now."""
        hosts = [*self.registries.values(), *self.routers.values()]
        return [host.address for host in hosts if host.node][:3]

    def _build_router(self, host, ports):
        return RouterNode(
            host.name, host.address, ports, host.zone, self.seeds, host.wall_us() + host.starts
        )

    def _build_platform(self, lag_us):
        return lambda host, ports: StandInPlatform(host.name, host.address, ports, lag_us)

    def _add_runner(self, name, zone, address):
        host = self._host(name, zone, address, self._build_runner)
        self.runners[name] = host
        return host

    def _build_runner(self, host, ports):
        place = int(host.name.rpartition("-")[2])
        phase = self.phases.get(host.name) or (
            "prefill" if place <= self.deployment.prefills else "decode"
        )
        return StandInRunner(
            host.name,
            host.address,
            ports,
            host.wall_us() + host.starts,
            phase,
            record=self.world.note,
            speeds=self.speeds,
            die=host.kill,
            **self.runner_given,
        )

    def _build_caller(self, host, ports):
        return Caller(
            host.name,
            host.address,
            ports,
            self.world.note,
            self.deployment.kinds,
            on_end=self._retry_refused,
        )

    def _build_operator(self, host, ports):
        return Operator(host.name, host.address, ports, self.world.note)

    def list_runners(self, at_once=False, **states):
        """Have the platform list all runners; `states` overrides a runner's state
        (`runner_1="leaving"`; "gone" omits it).

        The platform shows the list after its lag, or at once if `at_once` is set.
        """
        listed = {}
        for name, host in self.runners.items():
            if states.get(name.replace("-", "_")) == "gone":
                continue
            if host.node is None and name not in self.platform.node.now():
                continue
            before = self.platform.node.now().get(name)
            listed[name] = {
                "name": name,
                "address": host.address,
                "zone": host.zone,
                "incarnation": host.node.incarnation if host.node else before["incarnation"],
                "state": states.get(
                    name.replace("-", "_"),
                    "leaving" if host.node and host.node.is_leaving else "serving",
                ),
            }
        self.world.note(
            "listed",
            runners={name: record["state"] for name, record in listed.items()},
            lag_us=self.platform.node.lag_us,
        )
        self.platform.node.set(listed, at_once)

    def start(self, ready=True):
        """Start all processes. If `ready`, put the plan and wait until every router accepts
        requests and every role is held.

        Raises AssertionError if that does not happen within a minute.
        """
        for host in [
            self.platform,
            *self.runners.values(),
            *self.registries.values(),
            *self.routers.values(),
            self.caller,
            *self.operators,
        ]:
            host.start()
        self.list_runners(at_once=True)
        if not ready:
            return self
        if not self.world.wait_for(
            lambda: any(host.node.replica.is_voting for host in self.registries.values())
        ):
            raise AssertionError("no seat votes")
        self.world.run_for(SECOND)
        self.put_plan(self.plan, 0)
        if not self.world.wait_for(lambda: self.is_ready() and self.are_duties_held()):
            raise AssertionError("the fleet did not become ready")
        if self.tenants:
            self.world.run_for(SHARDS_DIVIDED_US)
        return self

    def are_duties_held(self):
        """Whether every singleton role and, with tenants, every shard has a holder."""
        nodes = [host.node for host in self.registries.values() if host.node]
        roles = (any(node.leases[role].is_held() for node in nodes) for role in SINGLETON_ROLES)
        return all(roles) and (self.tenants is None or self.are_shards_owned())

    def are_shards_owned(self):
        """Whether each shard of tenants has an owner that grants their quotas."""
        owners = [host.node.shard_leases for host in self.registries.values() if host.node]
        now_us = self.world.now_us
        return all(
            any(owner.is_owned(shard, now_us) for owner in owners)
            for shard in range(owners[0].num_shards)
        )

    def is_ready(self):
        """Whether every running router may accept requests."""
        return all(
            host.node.may_start()
            for host in self.routers.values()
            if host.node and not host.is_frozen
        )

    def live_registry(self):
        """A core machine that runs and votes; seat a's if there is none."""
        for host in self.registries.values():
            if host.node is not None and not host.is_still and host.node.replica.is_voting:
                return host
        return self.registries["a"]

    def acked_mark(self):
        """The highest mark of a plan that was acknowledged, 0 before the first."""
        return max(
            [facts["mark"] for _, kind, facts in self.world.record if kind == "acked"], default=0
        )

    def put_plan(self, plan, expect, seat=None, operator=0, done=None):
        """Have an operator put a plan, by default at a voting core machine. `expect` is the mark
        that it replaces."""
        registry = self.registries[seat] if seat else self.live_registry()
        self.operators[operator].node.put(registry.address, plan, expect, done)

    def _is_listed(self, host):
        """Whether the platform lists a router. Its list lags: a router that is down is given out
        for a while."""
        if host.node is not None:
            self.gone.pop(host.name, None)
            return True
        return (
            self.world.now_us - self.gone.setdefault(host.name, self.world.now_us) < LISTED_LATE_US
        )

    def pick_routers(self):
        """The routers that a caller is given: the two nearest that are listed, its own zone's
        first, and the farthest as a fallback."""
        zones = list(self.deployment.zones)
        home = self.load_dice.choices(
            range(len(zones)), [1 + self.crowded.get(zone, 0) for zone in zones]
        )[0]
        near = []
        for zone in zones[home:] + zones[:home]:
            hosts = [
                host
                for host in self.routers.values()
                if host.zone == zone and self._is_listed(host)
            ]
            self.load_dice.shuffle(hosts)
            near += hosts
        near = near or list(self.routers.values())
        return [host.address for host in [*near[:2], *near[-1:]]]

    def _retry_refused(self, asked):
        """A caller that was refused with a retry-after tries again once, after that time."""
        if (
            not self.comes_back
            or asked.how != "refused"
            or not asked.retry_s
            or asked.id in self.returned
            or not self.is_loading
        ):
            return

        def come_back():
            if not self.is_loading:
                return
            again = self.ask(
                asked.kind,
                tokens=len(read_json(asked.body)["prompt"]) // 4,
                key=asked.headers.get("idempotency-key"),
                credentials=asked.credentials,
            )
            self.returned.add(again.id)

        if asked.retry_s <= COME_BACK_MOST_S:
            self.world.after(asked.retry_s * SECOND, come_back)

    def prompt(self, tokens, kind):
        """A prompt of that length and kind, made once."""
        if (tokens, kind) not in self.prompts:
            self.prompts[(tokens, kind)] = make_prompt(tokens, kind)
        return self.prompts[(tokens, kind)]

    def ask(self, kind, routers=None, key=None, tokens=None, answer=None, credentials=None):
        """Have the caller send a request now; unset parts follow the kind's usual load."""
        _, prompt_tokens, answer_tokens = self.mix.get(kind) or self.deployment.mix[kind]
        return self.caller.node.ask(
            kind,
            self.prompt(tokens or prompt_tokens, kind),
            answer or answer_tokens,
            routers or self.pick_routers(),
            key,
            credentials=credentials or self._pick_credentials(),
        )

    def _pick_credentials(self):
        return self.tenants.pick(self.load_dice) if self.tenants else None

    def _pick_kind(self):
        roll = self.load_dice.random() * sum(share for share, _, _ in self.mix.values())
        for kind, (share, _, _) in self.mix.items():
            roll -= share
            if roll <= 0:
                return kind
        return kind

    def load(self, rate=None):
        """Send requests at random intervals, on average `rate` a second, until `stop_load`."""
        self.rate = rate or self.rate
        if self.is_loading:
            return
        self.is_loading = True
        self._load_next()

    def _load_next(self):
        if not self.is_loading:
            return
        kind = self._pick_kind()
        _, prompt_tokens, _ = self.mix[kind]
        spread = self.load_dice.choice((0.5, 0.75, 1.0, 1.25, 1.5))
        self.ask(kind, key=self._pick_key(kind), tokens=int(prompt_tokens * spread))
        rate = self.rate * self.tenants.load_factor if self.tenants else self.rate
        self.world.after(int(self.load_dice.expovariate(rate) * SECOND) + 1, self._load_next)

    def _pick_key(self, kind):
        """Half of the requests that aren't repeatable carry an idempotency key; one in ten of those
        reuses an earlier one."""
        if self.deployment.kinds[kind].get("repeatable", True) or self.load_dice.random() < 0.5:
            return None
        if self.keyed and self.load_dice.random() < 0.1:
            return f"form-{self.load_dice.randrange(self.keyed) + 1}"
        self.keyed += 1
        return f"form-{self.keyed}"

    def stop_load(self):
        """Send no further requests."""
        self.is_loading = False

    def settle(self, most_s=75):
        """Stop the load and wait until all requests have ended; return whether they did."""
        self.stop_load()
        asked = self.caller.node.asked
        return self.world.wait_for(
            lambda: all(one.ended_us is not None for one in asked.values()), most_s * SECOND
        )

    def summary(self, since_us=0, until_us=None):
        """Outcomes and latencies of the requests that were sent within a time, as `summarise` gives
        them."""
        return summarise(
            [
                one
                for one in self.caller.node.asked.values()
                if since_us <= one.asked_us < (until_us or self.world.now_us + 1)
            ],
            self.deployment.kinds,
        )


def percentile(values, share):
    """The value below which that share of the values lies; None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarise(asked, kinds):
    """Counts of outcomes, error codes, goodput and latency percentiles (ms) of requests.

    A request that was refused because its idempotency key was used before is not counted.
    """
    asked = [one for one in asked if one.code != "key_used"]
    counts = {
        "asked": len(asked),
        "served": 0,
        "refused": 0,
        "troubled": 0,
        "cut": 0,
        "waiting": 0,
        "good": 0,
    }
    ttfts, tpots, codes = [], [], {}
    places = {
        "done": "served",
        "refused": "refused",
        "trouble": "troubled",
        "cut": "cut",
        "unmade": "refused",
        None: "waiting",
    }
    for one in asked:
        place = places.get(one.how if one.ended_us is not None else None, "troubled")
        counts[place] += 1
        if one.code:
            codes[one.code] = codes.get(one.code, 0) + 1
        if place != "served":
            continue
        kind = kinds[one.kind]
        ttft_us = one.first_us - one.asked_us
        tpot_us = (one.ended_us - one.first_us) / max(
            1, one.tokens - one.tokens // max(1, one.pieces)
        )
        ttfts.append(ttft_us)
        tpots.append(tpot_us)
        if ttft_us <= kind["ttft_us"] and tpot_us <= kind["tpot_us"]:
            counts["good"] += 1
    return {
        **counts,
        "codes": codes,
        "goodput_share": round(counts["good"] / len(asked), 4) if asked else None,
        "ttft_ms": {
            f"p{int(share * 100)}": ttfts and int(percentile(ttfts, share) / 1000)
            for share in (0.5, 0.9, 0.99)
        },
        "tpot_ms": {
            f"p{int(share * 100)}": tpots and int(percentile(tpots, share) / 1000)
            for share in (0.5, 0.9, 0.99)
        },
    }
