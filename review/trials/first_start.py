"""A trial, no case: the core is killed at its first start, just after its first replica began.

Exits with 1 if no configuration is taken within 40 s after the core processes are back, with 0 if
one is, and with 2 if the trial couldn't run. With TROUBLE=0 nothing is killed.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from fleet import (  # noqa: E402 - found on the path that was just set
    OK,
    SERVICE,
    Fleet,
    Runner,
    configuration,
    route,
    run_case,
    service,
)

FIRST_VOTE = "LH1202"
"""The event of a core process that has become a replica, which is on its disk by then."""

OTHERS_AFTER_S = 0.3
"""By the pages all machines start within this time of each other."""

BACK_AFTER_S = 0.5
WATCHED_S = 40.0


def start_core(fleet: Fleet, number: int) -> None:
    """Start one core process."""
    name = f"core-{number}"
    fleet.start_process(name, fleet.cores[number], "registry", f"z{number + 1}")


async def restart_core(fleet: Fleet) -> None:
    """Kill all core processes once the first one is a replica, and start them again."""
    log = fleet.folder / "core-0.log"
    while FIRST_VOTE not in log.read_text():
        await asyncio.sleep(0.005)
    for number in range(len(fleet.cores)):
        fleet.processes[f"core-{number}"].kill()
    replicas = [
        number
        for number in range(len(fleet.cores))
        if FIRST_VOTE in (fleet.folder / f"core-{number}.log").read_text()
    ]
    fleet.record.write(f"all core processes are killed; replicas by then: {replicas}")
    for number in range(len(fleet.cores)):
        fleet.processes[f"core-{number}"].wait()
    await asyncio.sleep(BACK_AFTER_S)
    fleet.is_first_start = False
    for number in range(len(fleet.cores)):
        start_core(fleet, number)


async def case(fleet: Fleet, has_trouble: bool) -> bool:
    """Start the fleet, and look whether the operator's first configuration is ever taken."""
    runner = Runner(fleet.record, "i-documents-1", SERVICE, lambda _: b"a document")
    await fleet.start_stand_ins([runner])
    for number, ip in enumerate(fleet.edges):
        fleet.start_process(f"edge-{number}", ip, "router", f"z{number + 1}")
    for number in range(len(fleet.cores)):
        (fleet.folder / f"core-{number}").mkdir()
        start_core(fleet, number)
        await asyncio.sleep(OTHERS_AFTER_S if number == 0 else 0)
    if has_trouble:
        await restart_core(fleet)
    until_s, number, last = time.monotonic() + WATCHED_S, 0, ""
    while time.monotonic() < until_s:
        number += 1
        try:
            first = configuration(1, [route()], [service()])
            response = await fleet.put(first, 0, core=number % len(fleet.cores), limit_s=2.0)
            last = f"{response.status} {response.body.decode()[:60]}"
            if response.status == OK:
                fleet.record.write("the first configuration is acknowledged")
                return False
        except (OSError, TimeoutError) as error:
            last = repr(error)
        await asyncio.sleep(0.3)
    fleet.record.write(f"no configuration was taken for {WATCHED_S} s; the last answer: {last}")
    return True


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
