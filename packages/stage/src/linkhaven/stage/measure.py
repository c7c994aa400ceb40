"""Measurements in simulated time, one function for each; `MEASURES` names them for the command
line.

Each takes a deployment's name and a number of seeds, from 1, and calls `tell` with one row for each
case.
"""

from functools import partial

from linkhaven.pairing import NO_BOUND_US, Decision, PlacementPolicy
from linkhaven.runner.roster import PREFILL

from .faults import ALL, Faults
from .fleet import DEPLOYMENTS, SimFleet, percentile
from .scenario import Scenario

SECOND = 1_000_000


class RandomPlacement(PlacementPolicy):
    """Baseline: a random open runner reads the prompt, a random decode runner decodes."""

    __slots__ = ()

    def choose(self, work, ttft_us, without=(), room_us=NO_BOUND_US, is_overdue=False):
        candidates = self.evaluate_candidates(work, ttft_us, without, room_us, is_overdue)
        if not candidates or not self.has_decode(without, work.pool):
            return Decision(candidates, None)
        return Decision(candidates, candidates[self.node.ports.random.randrange(len(candidates))])

    def choose_decode(self, without=(), source=None, tokens=0, pool=None):
        runners = [
            runner
            for runner in self.roster.open_runners()
            if runner.phase != PREFILL and runner.name not in without
        ]
        return runners[self.node.ports.random.randrange(len(runners))] if runners else None


class StrictPlacement(PlacementPolicy):
    """Baseline: strict disaggregation, only prefill runners read prompts."""

    __slots__ = ()

    def evaluate_candidates(self, work, ttft_us, without=(), room_us=NO_BOUND_US, is_overdue=False):
        candidates = super().evaluate_candidates(work, ttft_us, without, room_us, is_overdue)
        return [
            candidate for candidate in candidates if candidate.runner.phase == PREFILL
        ] or candidates


POLICIES = {"taichi": PlacementPolicy, "random": RandomPlacement, "strict": StrictPlacement}


def make_fleet(deployment, seed, policy="taichi", **given):
    """Start a fleet whose routers use a placement policy of `POLICIES`."""
    fleet = SimFleet(DEPLOYMENTS[deployment], seed, **given)
    fleet.start()
    for host in fleet.routers.values():
        host.node.placement.__class__ = POLICIES[policy]
    return fleet


def run_load(fleet, rate, seconds, settle_s=90):
    """Run a load of `rate` requests a second for `seconds`; return its summary."""
    begun_us = fleet.world.now_us
    fleet.load(rate)
    fleet.world.run_for(int(seconds * SECOND))
    fleet.settle(settle_s)
    return fleet.summary(begun_us)


def fixed_plan(deployment, **taichi):
    """A deployment's plan with these TaiChi settings."""
    return DEPLOYMENTS[deployment].plan(taichi=taichi)


def measure_placement(deployment, seeds, tell):
    """Compare TaiChi, random placement and strict disaggregation: the share of requests within both
    targets, by rate."""
    base = DEPLOYMENTS[deployment].rate
    for factor in (1, 2, 3, 4):
        row = {"rate": base * factor}
        for policy in POLICIES:
            shares = []
            for seed in range(1, seeds + 1):
                fleet = make_fleet(
                    deployment, seed, policy, plan=fixed_plan(deployment, search=False)
                )
                shares.append(run_load(fleet, base * factor, 20)["goodput_share"])
            row[policy] = round(sum(shares) / len(shares), 4)
        tell(row)


def measure_herding(deployment, seeds, tell):
    """Goodput by the number of routers and the runners' report interval, at three times the usual
    rate."""
    rate = DEPLOYMENTS[deployment].rate * 3
    for routers in (1, 3, 7, 14):
        row = {"routers": routers}
        for every_ms in (100, 500, 2000):
            shares = []
            for seed in range(1, seeds + 1):
                plan = fixed_plan(deployment, search=False)
                plan["fleet"], plan["extra"] = (
                    {"routers": routers},
                    {"share": 0.2, "margin": routers},
                )
                fleet = make_fleet(
                    deployment,
                    seed,
                    plan=plan,
                    routers=routers,
                    runner_given={"report_every_us": every_ms * 1000},
                )
                shares.append(run_load(fleet, rate, 20)["goodput_share"])
            row[f"report_{every_ms}ms"] = round(sum(shares) / len(shares), 4)
        tell(row)


def measure_news(deployment, seeds, tell):
    """Time from an operator's acknowledgement until the plan is in force at each router."""
    for fault in (None, "kill_core", "freeze_core", "slow_disk"):
        delays = []
        for seed in range(1, seeds + 1):
            fleet = make_fleet(deployment, seed)
            faults = Faults(fleet)
            if fault:
                faults.begin(fault, "c")
                fleet.world.run_for(SECOND)
            for mark in range(1, 6):
                delays += _time_put(fleet, mark)
        tell({"fault": fault or "none", "samples": len(delays), **_spread_ms(delays)})


def _time_put(fleet, mark):
    world, acked = fleet.world, []
    fleet.put_plan(fleet.plan, mark, "a", 0, lambda status, document: acked.append(world.now_us))
    world.wait_for(lambda: acked, 5 * SECOND, 1_000)
    left, delays = dict(fleet.routers), []
    while left and world.now_us < acked[0] + 5 * SECOND:
        for name in [name for name, host in left.items() if host.node.snapshot.version > mark]:
            del left[name]
            delays.append(max(0, world.now_us - acked[0]))
        world.run_for(1_000)
    return delays


def _spread_ms(delays):
    return {
        f"p{int(share * 100)}_ms": round(percentile(delays, share) / 1000, 1)
        for share in (0.5, 0.9, 0.99)
    } | {"max_ms": round(max(delays) / 1000, 1)}


def measure_membership(deployment, seeds, tell):
    """Time until every other node considers a killed node down, and false alarms about live
    ones."""
    for kill in (1, 3):
        delays, false_alarms = [], 0
        for seed in range(1, seeds + 1):
            fleet = make_fleet(deployment, seed)
            world = fleet.world
            world.is_tracing = True
            fleet.load()
            names = sorted(fleet.routers)
            world.dice.shuffle(names)
            dead = names[:kill]
            world.run_for(20 * SECOND)
            killed_us = world.now_us
            for name in dead:
                fleet.routers[name].kill()
            world.run_for(6 * SECOND)
            for at_us, host, number, facts in world.events:
                if number == 1102 and facts["fellow"] in dead and host not in dead:
                    delays.append(at_us - killed_us)
                elif number == 1102:
                    false_alarms += 1
        tell(
            {
                "killed": kill,
                "samples": len(delays),
                **_spread_ms(delays),
                "false_alarms": false_alarms,
                "seconds_watched": 26 * seeds,
            }
        )


def measure_duties(deployment, seeds, tell):
    """Time that a role is vacant after its holder is killed or frozen."""
    for action in ("kill", "freeze"):
        delays = []
        for seed in range(1, seeds + 1):
            fleet = make_fleet(deployment, seed)
            for role in ("steward", "bursar", "roster"):
                holder = _holder(fleet, role)
                begun_us = fleet.world.now_us
                getattr(holder, action)()
                fleet.world.wait_for(partial(_holder, fleet, role), 12 * SECOND, 10_000)
                delays.append(fleet.world.now_us - begun_us)
                holder.wake() if action == "freeze" else holder.start()
                fleet.world.run_for(8 * SECOND)
        tell({"holder": action, "samples": len(delays), **_spread_ms(delays)})


def _holder(fleet, role):
    for host in fleet.registries.values():
        if host.node and not host.is_frozen and host.node.leases[role].is_held():
            return host
    return None


def measure_recovery(deployment, seeds, tell):
    """For each fault, the share served while it lasts and the time from its end until 90 percent of
    each second's requests are served."""
    for fault in ALL:
        times, during, good = [], [], []
        for seed in range(1, seeds + 1):
            scenario = Scenario(deployment, seed).load(3)
            begun_us = scenario.fleet.world.now_us
            scenario.fault(fault).load(8)
            closed_us = scenario.fleet.world.now_us
            scenario.close().end(calm_s=20)
            seen = scenario.fleet.summary(begun_us, closed_us)
            during.append(seen["served"] / max(1, seen["asked"]))
            good.append(seen["good"] / max(1, seen["asked"]))
            times.append(_recovered_s(scenario.fleet, closed_us))
        tell(
            {
                "fault": fault,
                "served_during": round(sum(during) / len(during), 3),
                "goodput_during": round(sum(good) / len(good), 3),
                "recovered_s_median": percentile(times, 0.5),
                "recovered_s_max": max(times),
            }
        )


def _without_credit(deployment):
    plan = DEPLOYMENTS[deployment].plan()
    name = next(iter(plan["groups"]))
    poor = {**plan["groups"][name], "credit": {"tokens": 4_000, "period_us": 10 * SECOND}}
    return {"plan": {**plan, "groups": {**plan["groups"], name: poor}}}


REFUSALS = {
    "a crowd": (["crowd", "crowd"], {}, 5),
    "a group short of credit": ([], {"poor": True}, 20),
    "cut-off routers": (["cut_router", "cut_router"], {}, 8),
    "a lost runner": (["crash_runner"], {}, 8),
    "most runners dark": (["dark_runner"] * 4, {}, 25),
}


def measure_refusals(deployment, seeds, tell):
    """How long refused calls waited, and how many of them until their deadline, by code."""
    deadlines = {
        kind: terms["deadline_us"] for kind, terms in DEPLOYMENTS[deployment].kinds.items()
    }
    for name, (faults, given, seconds) in REFUSALS.items():
        waits, codes, late, asked = [], {}, 0, 0
        for seed in range(1, seeds + 1):
            scenario = Scenario(
                deployment, seed, **(_without_credit(deployment) if given else {})
            ).load(2)
            for fault in faults:
                scenario.fault(fault)
            scenario.load(seconds).close().end(calm_s=5)
            calls = scenario.fleet.caller.node.asked.values()
            asked += len(calls)
            for one in calls:
                if one.how != "refused":
                    continue
                waits.append(one.ended_us - one.asked_us)
                codes[one.code] = codes.get(one.code, 0) + 1
                late += one.ended_us - one.asked_us >= 0.95 * deadlines[one.kind]
        tell(
            {
                "case": name,
                "asked": asked,
                "refused": len(waits),
                "at_the_deadline": late,
                "codes": codes,
                "kept_s": {
                    f"p{int(share * 100)}": round((percentile(waits, share) or 0) / SECOND, 2)
                    for share in (0.5, 0.9, 0.99)
                },
            }
        )


SLOW_LINKS = {
    "no link slow": None,
    "one slow pair": ("slow_pair", 60.0),
    "all slow": ("slow_links", 30.0),
}


def measure_links(deployment, seeds, tell):
    """Goodput while links between runners are slow."""
    for name, fault in SLOW_LINKS.items():
        asked = served = good = 0
        for seed in range(1, seeds + 1):
            scenario = Scenario(deployment, seed).load(4)
            begun_us = scenario.fleet.world.now_us
            if fault:
                scenario.fault(*fault)
            scenario.load(20).close()
            scenario.fleet.settle()
            seen = scenario.fleet.summary(begun_us)
            asked, served, good = (
                asked + seen["asked"],
                served + seen["served"],
                good + seen["good"],
            )
        tell(
            {
                "links": name,
                "asked": asked,
                "served_share": round(served / asked, 4),
                "goodput_share": round(good / asked, 4),
            }
        )


def _recovered_s(fleet, closed_us):
    """Seconds after which no second had less than 90 percent served."""
    last_bad = 0
    for second in range(20):
        seen = fleet.summary(closed_us + second * SECOND, closed_us + (second + 1) * SECOND)
        if seen["asked"] and seen["served"] < 0.9 * seen["asked"]:
            last_bad = second + 1
    return last_bad


SWING = {
    "licensing": (
        {"audit-digest": (1.0, 9_000, 60)},
        3.2,
        {"seat-question": (1.0, 200, 400)},
        34.0,
    ),
    "archive": (
        {"lecture-summary": (1.0, 9_000, 60)},
        6.0,
        {"chapter-heading": (1.0, 200, 400)},
        62.0,
    ),
}


def measure_ratio(deployment, seeds, tell):
    """Goodput over a swing from the usual mix to long prompts, to long answers and back, with the
    prefill/decode ratio searched or fixed."""
    prompts, prompt_rate, answers, answer_rate = SWING[deployment]
    usual = DEPLOYMENTS[deployment]
    for name, search in (("searched", True), ("fixed", False)):
        parts = {}
        orders = 0
        for seed in range(1, seeds + 1):
            plan = fixed_plan(deployment, search=search)
            plan["groups"] = {
                name: {
                    **terms,
                    "credit": {**terms["credit"], "tokens": terms["credit"]["tokens"] * 10},
                }
                for name, terms in plan["groups"].items()
            }
            fleet = make_fleet(deployment, seed, plan=plan)
            fleet.load()
            for part, mix, rate in (
                ("usual", usual.mix, usual.rate),
                ("prompts", prompts, prompt_rate),
                ("answers", answers, answer_rate),
                ("usual_again", usual.mix, usual.rate),
            ):
                fleet.mix, fleet.rate = dict(mix), rate
                begun_us = fleet.world.now_us
                fleet.world.run_for(40 * SECOND)
                parts.setdefault(part, []).append((begun_us, fleet.world.now_us, fleet))
            fleet.settle(120)
            orders += sum(
                1 for _, kind, facts in fleet.world.record if kind == "order" and facts["is_taken"]
            )
        row = {"ratio": name, "orders": orders}
        for part, spans in parts.items():
            shares = [
                fleet.summary(begun_us, ended_us)["goodput_share"]
                for begun_us, ended_us, fleet in spans
            ]
            row[part] = round(sum(shares) / len(shares), 4)
        tell(row)


def measure_moves(deployment, seeds, tell):
    """Goodput with and without moving streams between runners, where decode memory is scarce."""
    for moves in (True, False):
        shares, served, shed, back = [], [], 0, 0
        for seed in range(1, seeds + 1):
            plan = fixed_plan(deployment, search=False, moves=moves)
            fleet = make_fleet(deployment, seed, plan=plan, runner_given={"kv_total": 40_000})
            long = min(fleet.mix, key=lambda kind: fleet.mix[kind][0])
            short = max(fleet.mix, key=lambda kind: fleet.mix[kind][0])
            fleet.mix = {long: (0.4, 6_000, 800), short: (0.6, 400, 120)}
            seen = run_load(fleet, DEPLOYMENTS[deployment].rate, 40, 120)
            shares.append(seen["goodput_share"])
            served.append(seen["served"] / seen["asked"])
            shed += sum(host.node.stream_migrator.moves["shed"] for host in fleet.routers.values())
            back += sum(host.node.stream_migrator.moves["back"] for host in fleet.routers.values())
        tell(
            {
                "moves": moves,
                "goodput_share": round(sum(shares) / len(shares), 4),
                "served_share": round(sum(served) / len(served), 4),
                "shed": shed,
                "back": back,
            }
        )


def measure_fairness(deployment, seeds, tell):
    """Wait for the first piece of each kind, with and without one group flooding for 8 s."""
    flooding = min(
        DEPLOYMENTS[deployment].mix, key=lambda kind: DEPLOYMENTS[deployment].mix[kind][0]
    )
    for is_flooded in (False, True):
        waits = {}
        for seed in range(1, seeds + 1):
            fleet = make_fleet(deployment, seed)
            fleet.load()
            for step in range(400 if is_flooded else 0):
                fleet.world.after(step * 20_000, partial(fleet.ask, flooding))
            fleet.world.run_for(12 * SECOND)
            fleet.settle(120)
            for one in fleet.caller.node.asked.values():
                waits.setdefault(one.kind, []).append(
                    ((one.first_us or one.ended_us) - one.asked_us, one.how == "done")
                )
        for kind, seen in waits.items():
            spans = [span for span, _ in seen]
            tell(
                {
                    "flooded": is_flooded,
                    "kind": kind,
                    "asked": len(seen),
                    "served": sum(done for _, done in seen),
                    **_spread_ms(spans),
                }
            )


MEASURES = {
    "placement": measure_placement,
    "herding": measure_herding,
    "news": measure_news,
    "membership": measure_membership,
    "duties": measure_duties,
    "recovery": measure_recovery,
    "refusals": measure_refusals,
    "links": measure_links,
    "ratio": measure_ratio,
    "moves": measure_moves,
    "fairness": measure_fairness,
}
