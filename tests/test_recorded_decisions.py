"""Placement decisions equal the recorded ones, each with its reason.

The recordings are digests of 200 decisions each, of whole simulated fleets: small ones, whose
routers report every change to each other, large ones, whose reports come late through the core, and
one with the native protocol and without pools. `python tests/test_recorded_decisions.py` records
them again; only a deliberate change of the policy does so, in a commit that says what changed.
"""

import hashlib
import json
from contextlib import contextmanager
from pathlib import Path

import pytest
from pooled_fleet import POOL, POOLED, SPEEDS, PooledFleet

from linkhaven.pairing import PlacementPolicy
from linkhaven.stage.fleet import LICENSING, SECOND, SimFleet

RECORDINGS = Path(__file__).parent / "recordings" / "decisions.json"
CHUNK = 200
RECORDED_NAMES = {
    "choose": "choose",
    "choose_best_effort": "choose_anyway",
    "choose_decode": "choose_decode",
}
"""The method of each decision, and the name that the recordings have for it."""


def pooled(seed, routers, rate, gone=()):
    """Run a fleet of one pool under load; after 9 seconds the runners `gone` are lost."""
    plan = POOLED.plan(pools={POOL: {}})
    plan["taichi"] = {"prefill_tokens_per_s": 0, "search": True}
    one = PooledFleet(
        POOLED,
        seed,
        speeds=SPEEDS,
        plan=plan,
        runner_given={"kv_total": 403_000},
        routers=routers,
    ).start()
    one.load(rate)
    one.world.run_for(9 * SECOND)
    one.list_runners(**{name.replace("-", "_"): "gone" for name in gone})
    for name in gone:
        one.runners[name].kill()
    one.world.run_for(7 * SECOND)


def native(seed):
    fleet = SimFleet(LICENSING, seed).start()
    fleet.load(16.0)
    fleet.world.run_for(20 * SECOND)


RUNS = {
    "small": lambda: pooled(51, 7, 30.0),
    "small, a reader lost": lambda: pooled(52, 7, 18.0, ["runner-1"]),
    "small, decoders lost": lambda: pooled(53, 7, 14.0, ["runner-4"]),
    "large": lambda: pooled(54, 20, 30.0),
    "large, a reader lost": lambda: pooled(55, 20, 18.0, ["runner-2"]),
    "native": lambda: native(56),
}


def name_of(result):
    return result and result.name


def record_of(result):
    return result.as_record() if hasattr(result, "as_record") else name_of(result)


def outcome_of(result):
    """Return a runner's name or a decision's record, with all estimates of its candidates."""
    return name_of(result) if hasattr(result, "incarnation") else record_of(result)


@contextmanager
def recorded():
    """Collect each outermost decision of every router while the context is open."""
    entries, depth = [], [0]
    originals = {name: getattr(PlacementPolicy, name) for name in RECORDED_NAMES}

    def hooked(name, inner):
        def call(self, *words, **facts):
            depth[0] += 1
            try:
                result = inner(self, *words, **facts)
            finally:
                depth[0] -= 1
            if not depth[0]:
                entry = [
                    self.node.now_us(),
                    self.node.name,
                    RECORDED_NAMES[name],
                    outcome_of(result),
                ]
                entries.append(json.dumps(entry))
            return result

        return call

    for name, inner in originals.items():
        setattr(PlacementPolicy, name, hooked(name, inner))
    try:
        yield entries
    finally:
        for name, inner in originals.items():
            setattr(PlacementPolicy, name, inner)


def play(name):
    with recorded() as entries:
        RUNS[name]()
    return entries


def digest(entries):
    return hashlib.blake2b("\n".join(entries).encode(), digest_size=8).hexdigest()


def chunks_of(entries):
    return [digest(entries[start : start + CHUNK]) for start in range(0, len(entries), CHUNK)]


@pytest.mark.parametrize("name", RUNS)
def test_every_decision_is_the_recorded_one(name):
    recording = json.loads(RECORDINGS.read_text())[name]
    entries = play(name)
    chunks = chunks_of(entries)
    for place, (before, now) in enumerate(zip(recording["chunks"], chunks, strict=False)):
        assert now == before, f"decisions {place * CHUNK} to {(place + 1) * CHUNK - 1} differ"
    assert len(entries) == recording["decisions"]


def test_thousands_of_decisions_are_recorded():
    """They include ones that were placed and ones that no runner could answer in time."""
    recorded_runs = json.loads(RECORDINGS.read_text())
    assert set(recorded_runs) == set(RUNS)
    assert sum(run["decisions"] for run in recorded_runs.values()) >= 3_000


def main():
    """Record all runs again."""
    found = {}
    for name in RUNS:
        entries = play(name)
        found[name] = {"decisions": len(entries), "chunks": chunks_of(entries)}
    RECORDINGS.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
