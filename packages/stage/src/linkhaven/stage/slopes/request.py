"""Processor time of requests on real sockets."""

import os
import time

import psutil

from ..fleet import Deployment
from ..loopback import LoadRun, LoopbackFleet
from .hollow import Shape

IDLE_S = 5
SETTLE_S = 4
RATES = (10, 20, 40, 60, 80)
ANSWERS = (40, 160, 320)
LONG_RATE = 20


def _spent_us(process):
    spent = process.cpu_times()
    return int((spent.user + spent.system) * 1_000_000)


def measure_requests(folder, port, seconds, report):
    """Measures processor time and resident memory of one router and the registry processes.

    Runs on real sockets at several request rates and answer lengths; returns the points by role.
    """
    made = Shape(routers=1, runners=4, groups=4, kinds=4, zones=1).deployment()
    deployment = Deployment("hollow", made.zones, 1, 4, 1, made.groups, made.kinds, made.mix, 1.0)
    os.makedirs(folder, exist_ok=True)
    fleet = LoopbackFleet(deployment, folder, port, ("--fast",))
    points = {"router": [], "registry": []}
    try:
        fleet.start()
        fleet.put_plan(deployment.plan(taichi={"search": False}), 0)
        fleet.wait_ready()
        watched = {
            role: [psutil.Process(fleet.processes[name].process.pid) for name in names]
            for role, names in (("router", fleet.routers), ("registry", fleet.registries))
        }
        time.sleep(SETTLE_S)
        steps = [(rate, ANSWERS[0]) for rate in (0, *RATES)] + [
            (LONG_RATE, answer) for answer in ANSWERS[1:]
        ]
        for rate, answer in steps:
            deployment.mix = {
                kind: (share, prompt, answer) for kind, (share, prompt, _) in deployment.mix.items()
            }
            row = {
                "answer_tokens": answer,
                **_measure_rate(deployment, fleet, watched, rate, seconds),
            }
            for role, found in points.items():
                found.append(
                    (row["served_a_second"], row["pieces_a_second"], row[f"{role}_cpu_us"])
                )
            report(row)
    finally:
        fleet.stop()
    return points


def _measure_rate(deployment, fleet, watched, rate, seconds):
    before = {role: [_spent_us(process) for process in held] for role, held in watched.items()}
    begun, served, pieces, told = time.monotonic(), 0, 0, {}
    if rate:
        load = LoadRun(deployment, fleet.routers.values(), rate, seconds, 1)
        told = load.run()
        served, pieces = told["served"], sum(asked.pieces for asked in load.caller.asked.values())
    else:
        time.sleep(IDLE_S)
    passed = time.monotonic() - begun
    row = {
        "rate": rate,
        "served_a_second": round(served / passed, 2),
        "pieces_a_second": round(pieces / passed, 2),
        "seconds": round(passed, 1),
        "codes": told.get("codes", {}),
    }
    for role, held in watched.items():
        spent_us = [
            _spent_us(process) - was for process, was in zip(held, before[role], strict=True)
        ]
        row[f"{role}_cpu_us"] = int(sum(spent_us) / len(held) / passed)
        row[f"{role}_rss_mb"] = round(
            max(process.memory_info().rss for process in held) / 1_048_576, 1
        )
    return row
