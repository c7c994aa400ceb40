"""What the processes send, write, log and answer equals the recordings, entry by entry.

The recordings come from 6c079fa, but for runs that were recorded again since, which is done only
where a fix intends the change; `tests/recordings/RECORDED.md` has the cause of each. They are
digests of 500 entries each, by kind, with the first example of each kind. To record runs again:
`python tests/test_recorded_transcripts.py RUN [RUN ...]`.
"""

import hashlib
import json
import sys
from pathlib import Path

import pytest
from recorded_world import RUNS, play

RECORDINGS = Path(__file__).parent / "recordings" / "transcripts.json"
CHUNK_ENTRIES = 500
MAX_EXAMPLE_CHARACTERS = 6_000


def digest(entries):
    return hashlib.blake2b("\n".join(entries).encode(), digest_size=6).hexdigest()


def kind_of(entry):
    return entry.split("\t", 2)[1]


def group_by_kind(entries):
    found = {}
    for entry in entries:
        found.setdefault(kind_of(entry), []).append(entry)
    return found


def chunks_of(entries):
    """Return a digest of each chunk, in the order of its entries, and one for each kind in it."""
    found = []
    for start in range(0, len(entries), CHUNK_ENTRIES):
        chunk = entries[start : start + CHUNK_ENTRIES]
        kinds = {kind: digest(of) for kind, of in group_by_kind(chunk).items()}
        found.append([digest(chunk), kinds])
    return found


def first_examples(entries):
    return {kind: of[0][:MAX_EXAMPLE_CHARACTERS] for kind, of in group_by_kind(entries).items()}


def record_again(recorded, names):
    """Replace the recordings of these runs, and the examples that were taken from them."""
    for name in names:
        entries = play(name)
        recorded["runs"][name] = {"entries": len(entries), "chunks": chunks_of(entries)}
        for kind, entry in first_examples(entries).items():
            if recorded["examples"].get(kind, {"run": name})["run"] == name:
                recorded["examples"][kind] = {"run": name, "entry": entry}
        replace_examples_of(name, first_examples(entries), recorded["examples"])


def replace_examples_of(name, found, examples):
    """Replace examples of kinds that this run no longer has by examples of other runs.

    A kind that no run has is printed; RECORDED.md must have its cause.
    """
    missing = {kind for kind in examples if examples[kind]["run"] == name and kind not in found}
    for other in RUNS:
        if not missing:
            return
        for kind, entry in first_examples(play(other)).items():
            if kind in missing:
                examples[kind] = {"run": other, "entry": entry}
                missing.remove(kind)
    for kind in missing:
        print("no run has this kind any more:", kind)
        del examples[kind]


def differences(name, entries, recorded):
    """Return descriptions of the first differences from the recording, if there are any."""
    found = []
    now = first_examples(entries)
    for kind, example in recorded["examples"].items():
        if example["run"] == name and now.get(kind) != example["entry"]:
            found += [f"first {kind}:", f"  was {example['entry']}", f"  is  {now.get(kind)}"]
    chunks = chunks_of(entries)
    then = recorded["runs"][name]
    if len(entries) != then["entries"]:
        found.append(f"{len(entries)} entries, not {then['entries']}")
    for index, (was, has) in enumerate(zip(then["chunks"], chunks, strict=False)):
        if was == has:
            continue
        kinds = [kind for kind in {**was[1], **has[1]} if was[1].get(kind) != has[1].get(kind)]
        first, last = index * CHUNK_ENTRIES, min((index + 1) * CHUNK_ENTRIES, len(entries)) - 1
        times = [entries[at].partition("\t")[0] for at in (first, last)]
        what = ", ".join(kinds) or "the order"
        found.append(f"entries {first} to {last}, {times[0]} to {times[1]} us: {what}")
        break
    return found


@pytest.fixture(scope="module")
def recorded():
    return json.loads(RECORDINGS.read_text())


def test_every_run_is_recorded(recorded):
    assert sorted(recorded["runs"]) == sorted(RUNS)


@pytest.mark.parametrize("name", sorted(RUNS))
def test_a_run_is_byte_for_byte_the_recorded_one(recorded, name):
    found = differences(name, play(name), recorded)
    assert not found, "\n".join(found)


if __name__ == "__main__":
    kept = json.loads(RECORDINGS.read_text())
    record_again(kept, sys.argv[1:])
    RECORDINGS.write_text(json.dumps(kept, ensure_ascii=False, indent=0) + "\n")
