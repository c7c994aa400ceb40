"""The short form of the soak: one seed on real processes and sockets, judged by every rule.

All bounds are stated in `schedule.py` and `judge.py`; the load waits for the end of each fault and
for the time to recover from it, and sleeps for nothing else.
"""

import signal
import subprocess
import sys
import time
from pathlib import Path

import psutil
import pytest

from linkhaven.stage.fleet import LICENSING
from linkhaven.stage.soak.ports import find_range
from linkhaven.stage.soak.run import SoakRun

SEED = 5
SECONDS = 21
FIRST_PORT = 10_000


def test_a_fleet_under_overlapping_faults_keeps_every_rule(tmp_path):
    run = SoakRun(LICENSING, SEED, SECONDS, str(tmp_path), find_range(FIRST_PORT))
    result = run.run()
    assert result.breaches == {}
    assert result.faults >= 2
    assert result.windows_after >= 1
    assert result.plans > 10
    assert not any(run.fleet.is_running(name) for name in run.fleet.processes)


STAGE = Path(sys.executable).with_name("linkhaven-stage")
PATIENCE_S = 90
POLL_S = 0.1


def poll(look):
    """What `look` finds, as soon as it finds something."""
    until = time.monotonic() + PATIENCE_S
    while not (found := look()):
        assert time.monotonic() < until
        time.sleep(POLL_S)
    return found


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
@pytest.mark.parametrize("event", ["LH1001", "LH2001"])
def test_an_interrupt_ends_every_process(tmp_path, number, event):
    command = [STAGE, "soak", "--first", str(SEED), "--folder", str(tmp_path)]
    command += ["--port", str(FIRST_PORT)]
    log = tmp_path / f"licensing-{SEED}" / "edge-1.log"
    soak = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
    try:
        poll(lambda: log.exists() and event in log.read_text())
        processes = psutil.Process(soak.pid).children(recursive=True)
        soak.send_signal(number)
        told, errors = soak.communicate(timeout=PATIENCE_S)
    finally:
        soak.kill()
    assert soak.returncode == 130
    assert told == ""
    assert "interrupted, not judged" in errors
    assert len(processes) > LICENSING.routers
    assert psutil.wait_procs(processes, 0)[1] == []
