"""A simulated fleet with one pool and the platform's bounds, for tests of placement."""

from collections import Counter

from linkhaven.router import RouterNode
from linkhaven.runtime import Bounds
from linkhaven.stage.fleet import SECOND, Deployment, SimFleet
from linkhaven.stage.standins import Speeds

POOL = "models"
SLOTS = 64
LAST = "runner-5"
NOTICE_US = 3_000_000


def kind(group, ttft_s, deadline_s):
    return {
        "group": group,
        "ttft_us": int(ttft_s * SECOND),
        "tpot_us": 300_000,
        "deadline_us": int(deadline_s * SECOND),
        "prompt_tokens": 60_000,
        "answer_tokens": 800,
        "pools": [{"pool": POOL, "weight": 1}],
    }


def uncapped():
    return {"weight": 1.0}


POOLED = Deployment(
    "pooled",
    ("north", "south", "west"),
    7,
    5,
    3,
    {"digests": uncapped(), "questions": uncapped(), "checks": uncapped()},
    {
        "digest": kind("digests", 0.8, 8),
        "question": kind("questions", 0.8, 8),
        "check": kind("checks", 1.5, 2.5),
    },
    {
        "digest": (0.23, 14_000, 120),
        "question": (0.42, 600, 96),
        "check": (0.35, 1_600, 8),
    },
    18.0,
)
SPEEDS = Speeds(
    prefill_rate=48_000,
    read_base_us=14_000,
    step_us=2_600,
    step_each_us=120,
    kv_bytes=18_000,
    link_rate=90_000_000_000,
)


class PooledFleet(SimFleet):
    """Runners of one named pool, and routers that refuse requests early, as on the platform."""

    __slots__ = ()

    def _build_router(self, host, ports):
        bounds = Bounds(
            hold_share=0.2,
            retry_least_us=100_000,
            roster_stale_us=None,
            leaving_grace_us=NOTICE_US // 2,
        )
        incarnation = host.wall_us() + host.starts
        return RouterNode(
            host.name, host.address, ports, host.zone, self.seeds, incarnation, bounds=bounds
        )

    def list_runners(self, at_once=False, **states):
        super().list_runners(at_once, **states)
        for record in self.platform.node.history[-1][1].values():
            record.update(pool=POOL, slots=SLOTS)


def loaded_fleet(seed):
    """Start the whole fleet and load it for six seconds: three prefill runners, two decode."""
    plan = POOLED.plan(pools={POOL: {}})
    plan["taichi"] = {"prefill_tokens_per_s": 0, "search": False}
    one = PooledFleet(
        POOLED, seed, speeds=SPEEDS, plan=plan, runner_given={"kv_total": 403_000}
    ).start()
    one.load()
    one.world.run_for(6 * SECOND)
    return one


def fleet(seed, left=1):
    """Start a fleet under load and stop all but the last `left` runners, which decode."""
    one = loaded_fleet(seed)
    gone = {f"runner_{place}": "gone" for place in range(1, POOLED.runners - left + 1)}
    one.list_runners(**gone)
    for name in gone:
        one.runners[name.replace("_", "-")].kill()
    return one


def served_by_kind(one, since_us):
    """Return by kind the share of requests since `since_us` that were served in full."""
    shares = {}
    for name in POOLED.kinds:
        asked = [
            each
            for each in one.caller.node.asked.values()
            if each.kind == name and each.asked_us >= since_us and each.ended_us is not None
        ]
        served = sum(1 for each in asked if each.how == "done")
        shares[name] = served / max(1, len(asked))
    return shares


def violations(one):
    """Return the violations of placement invariants at all routers, by name."""
    counts = Counter()
    for host in one.routers.values():
        if host.node:
            counts.update(host.node.invariants.violations)
    return dict(counts)
