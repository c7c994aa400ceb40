"""The short form of the soak: one seed on real processes and sockets, judged by every rule.

All bounds are stated in `schedule.py` and `judge.py`; the load waits for the end of each fault and
for the time to recover from it, and sleeps for nothing else.
"""

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
