"""CONFIG: a configuration whose routes name a service that it doesn't have is acknowledged."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from fleet import (  # noqa: E402 - found on the path that was just set
    HOST,
    OK,
    PREFIX,
    SERVICE,
    Fleet,
    Runner,
    call,
    configuration,
    route,
    run_case,
    service,
)

REQUESTS = 5


async def ask(fleet: Fleet, request_id: str) -> int:
    """Send one request of a client and return the status of its answer, 0 for none."""
    fields = {"Host": HOST, "Request-Id": request_id, "Deadline-Remaining": "2000"}
    try:
        response = await call(fleet.frontend(0), "POST", f"{PREFIX}one", fields)
    except (OSError, TimeoutError) as error:
        fleet.record.write(f"{request_id}: {error!r}")
        return 0
    fleet.record.write(f"{request_id}: status {response.status}")
    return response.status


async def case(fleet: Fleet, has_trouble: bool) -> bool:
    """Serve requests, send the invalid configuration, and look at what is in force."""
    runner = Runner(fleet.record, "i-documents-1", SERVICE, lambda _: b"a document")
    await fleet.start([runner], configuration(1, [route()], [service()]))
    await asyncio.sleep(4)
    before = [await ask(fleet, f"5ca1ab1e0000010{number}") for number in range(REQUESTS)]
    if OK not in before:
        raise RuntimeError("nothing is served under the first configuration")
    is_acknowledged = False
    if has_trouble:
        invalid = configuration(2, [route(target_service="svc-unknown")], [])
        fleet.record.write(f"the operator sends, on version 1: {json.dumps(invalid)}")
        response = await fleet.put(invalid, 1)
        fleet.record.write(f"the answer is {response.status} {response.body.decode()[:300]}")
        is_acknowledged = response.status == OK
    await asyncio.sleep(3)
    in_force = (await fleet.describe())["revision"]
    fleet.record.write(f"read back: revision {in_force}")
    after = [await ask(fleet, f"5ca1ab1e0000020{number}") for number in range(REQUESTS)]
    fleet.record.write(f"statuses before: {before}, after: {after}")
    fleet.record.write(f"the runner has run: {runner.ran}")
    return is_acknowledged or in_force != 1


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
