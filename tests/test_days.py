"""The days (files of planned work and faults) are well formed, and together cover every fault."""

import itertools
import tomllib
from pathlib import Path

import pytest

FOLDER = Path(__file__).parent / "days"
SITES = {"ttcp-linkhaven", "ostrander-halls"}
FILES = sorted(FOLDER.glob("*/*.toml"))
DAY_S = 34
LONGEST_DAY_S = 90

PLANNED = {
    "release": "",
    "roll_term": "busy remove",
    "replace_core": "planned",
    "seed_turnover": "",
    "config_change": "route weights timeout idle tenant quota",
    "config_storm": "idle",
    "config_race": "",
    "bad_config": "cut_short unknown_service same_place no_weight no_timeout old_version"
    " stale_match shared_key same_version",
    "scale_out": "",
    "scale_in": "stay",
    "hup": "",
}
FAULTS = {
    "burst": "",
    "srv_crash": "dark gone across all",
    "answer_lost": "reset",
    "garble": "extra late",
    "node_kill": "power leader reader seed race meet drain hard swarm",
    "node_freeze": "leader reader seed race meet drain hard swarm",
    "node_slow": "leader",
    "herd_kill": "power core off race meet drain hard taken swarm",
    "replace_core": "leader",
    "after_ack_kill": "kill timed taken",
    "after_ack_wipe": "timed taken",
    "ack_lost": "",
    "disk_full": "leader",
    "disk_slow": "leader",
    "disk_stall": "leader",
    "clock_step": "back ahead",
    "core_cut": "one_way reset refuse leader reader seed seeds both race meet drain hard swarm",
    "node_cut": "servers reset refuse",
    "kv_slow": "",
    "handle_short": "",
    "retry_abuse": "",
    "reset_conns": "",
    "scale_in": "spot",
    "srv_slow": "across all",
    "srv_grey": "errors shed busy hang reset mute slow one_zone across all",
    "replace_with_reuse": "drain dark",
}
CLOSINGS = {
    ("power_off_all", ""),
    ("kill_all", ""),
    ("wipe_after_ack", ""),
    ("wipe_after_ack", "aimed"),
    ("wipe_after_ack", "timed"),
    ("wipe_after_ack", "taken"),
    ("wipe_after_ack", "aimed timed"),
    ("power_off_all", "timed"),
    ("power_off_all", "taken"),
    ("kill_all", "timed"),
    ("kill_all", "taken"),
}


CORE_KINDS = {
    "node_kill",
    "node_freeze",
    "herd_kill",
    "replace_core",
    "after_ack_kill",
    "after_ack_wipe",
    "core_cut",
}


def is_on_the_core(entry):
    """Whether the entry affects core machines, by its kind or by the class that it names."""
    if entry["kind"] in {"node_kill", "node_freeze", "herd_kill"}:
        return entry.get("on") == "core"
    return entry["kind"] in CORE_KINDS


def read(path):
    days = tomllib.loads(path.read_text())["day"]
    assert len(days) == 1
    return days[0]


def entries(day):
    return [("plan", entry) for entry in day.get("plan", [])] + [
        ("faults", entry) for entry in day.get("faults", [])
    ]


def list_played(paths):
    played = set()
    for path in paths:
        for part, entry in entries(read(path)):
            played |= {(part, entry["kind"], how) for how in ["", *entry.get("how", "").split()]}
    return played


@pytest.mark.parametrize("path", FILES, ids=lambda path: f"{path.parent.name}/{path.stem}")
def test_a_day_is_read_and_its_entries_fit(path):
    day = read(path)
    assert path.parent.name in SITES | {"both"}
    assert day["name"] == path.stem
    assert entries(day) or day.get("closing")
    assert DAY_S <= day.get("length_s", DAY_S) <= LONGEST_DAY_S
    for part, entry in entries(day):
        assert 0 <= entry["at"] < day.get("length_s", DAY_S)
        known = PLANNED if part == "plan" else FAULTS
        assert set(entry.get("how", "").split()) <= set(known[entry["kind"]].split()), entry
        names = {"service", "class", "zone", "to_zone"} & set(entry)
        assert not names or path.parent.name in SITES, "names of a site belong in its own folder"
    closing = day.get("closing")
    assert closing is None or (closing["kind"], closing.get("how", "")) in CLOSINGS


def test_each_fault_and_each_variant_of_it_is_in_a_day_for_either_site():
    wanted = {
        (part, kind, how)
        for part, known in (("plan", PLANNED), ("faults", FAULTS))
        for kind, variants in known.items()
        for how in ["", *variants.split()]
    }
    for site in SITES:
        paths = [path for path in FILES if path.parent.name in (site, "both")]
        assert not wanted - list_played(paths)


def test_each_closing_fault_is_in_a_day():
    closings = [read(path).get("closing") for path in FILES]
    assert CLOSINGS == {
        (closing["kind"], closing.get("how", "")) for closing in closings if closing
    }


def test_the_entries_on_the_core_are_in_pairs_and_come_again_in_a_day():
    """The core's rules are about second losses, so days with a single fault don't suffice."""
    pairs = set()
    again = set()
    for path in FILES:
        kinds = [entry["kind"] for _, entry in entries(read(path)) if is_on_the_core(entry)]
        pairs |= {frozenset(pair) for pair in itertools.combinations(kinds, 2)}
        again |= {kind for kind in kinds if kinds.count(kind) > 1}
    assert again >= CORE_KINDS
    for kind in CORE_KINDS:
        assert sum(1 for pair in pairs if kind in pair and len(pair) == 2) >= 3, kind


def test_long_days_hold_hundreds_of_changes_for_either_site():
    """A series of changes is long if it exceeds the history that a member keeps."""
    long_days = [read(path) for path in FILES if path.stem.startswith("long-")]
    assert len(long_days) >= 5
    for day in long_days:
        assert day["length_s"] == LONGEST_DAY_S
        changes = sum(
            entry["count"] * (2 if entry["kind"] == "config_race" else 1)
            for entry in day["plan"]
            if entry["kind"] in {"config_storm", "config_race"}
        )
        assert changes >= 200, day["name"]


def test_one_long_day_combines_the_five_core_troubles():
    """The day has a long cut of the leader, lost answers, a second loss, changes and resets."""
    day = read(FOLDER / "both" / "long-five-points.toml")
    by_kind = {entry["kind"]: entry for _, entry in entries(day)}
    assert by_kind["core_cut"]["for_s"] >= 20
    assert "leader" in by_kind["core_cut"]["how"]
    assert by_kind["ack_lost"]["x"] >= 0.9
    wanted = {"config_race", "config_storm", "replace_core", "after_ack_wipe", "after_ack_kill"}
    wanted |= {"answer_lost", "garble", "reset_conns"}
    assert wanted <= set(by_kind)


def test_each_fault_is_alone_in_a_day_and_each_pair_combines_two():
    alone = {
        tuple(sorted({entry["kind"] for _, entry in entries(read(path))}))
        for path in FILES
        if not path.stem.startswith("pair-")
    }
    stands_alone = {kinds[0] for kinds in alone if len(kinds) == 1}
    needs_a_change = {
        "disk_full",
        "disk_slow",
        "disk_stall",
        "core_cut",
        "node_cut",
        "seed_turnover",
        "ack_lost",
    }
    assert {*PLANNED, *FAULTS} - needs_a_change <= stands_alone
    assert {kind for kinds in alone for kind in kinds} >= needs_a_change
    for path in FILES:
        if path.stem.startswith("pair-"):
            day = read(path)
            assert (
                len({entry["kind"] for _, entry in entries(day)}) + bool(day.get("closing")) >= 2
            ), path.stem
