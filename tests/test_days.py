import tomllib
from pathlib import Path

import pytest

FOLDER = Path(__file__).parent / "days"
SITES = {"ttcp-linkhaven", "ostrander-halls"}
FILES = sorted(FOLDER.glob("*/*.toml"))
DAY_S = 34

PLANNED = {
    "release": "",
    "roll_term": "busy remove",
    "replace_core": "planned",
    "seed_turnover": "",
    "config_change": "route weights timeout idle tenant quota",
    "config_storm": "",
    "config_race": "",
    "bad_config": "cut_short unknown_service same_place no_weight no_timeout old_version stale_match shared_key",
}
FAULTS = {
    "burst": "",
    "srv_crash": "dark gone across all",
    "answer_lost": "reset",
    "garble": "extra late",
    "node_kill": "power leader seed race meet drain hard",
    "node_freeze": "leader",
    "herd_kill": "power race drain hard",
    "replace_core": "leader",
    "after_ack_wipe": "",
    "disk_full": "",
    "disk_slow": "",
    "disk_stall": "",
    "clock_step": "back ahead",
    "core_cut": "one_way reset refuse leader race meet drain",
    "node_cut": "servers reset refuse",
    "kv_slow": "",
    "handle_short": "",
}
CLOSINGS = {
    ("power_off_all", ""),
    ("kill_all", ""),
    ("wipe_after_ack", ""),
    ("wipe_after_ack", "aimed"),
}


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
    for part, entry in entries(day):
        assert 0 <= entry["at"] < DAY_S
        known = PLANNED if part == "plan" else FAULTS
        assert set(entry.get("how", "").split()) <= set(known[entry["kind"]].split()), entry
        assert not {"service", "class", "zone"} & set(entry) or path.parent.name in SITES, (
            "names of a site stand in its own folder"
        )
    closing = day.get("closing")
    assert closing is None or (closing["kind"], closing.get("how", "")) in CLOSINGS


def test_each_trouble_and_each_variant_of_it_is_in_a_day_for_either_site():
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


def test_each_trouble_stands_alone_in_a_day_and_with_another_in_a_pair():
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
    }
    assert {*PLANNED, *FAULTS} - needs_a_change <= stands_alone
    assert {kind for kinds in alone for kind in kinds} >= needs_a_change
    for path in FILES:
        if path.stem.startswith("pair-"):
            day = read(path)
            assert (
                len({entry["kind"] for _, entry in entries(day)}) + bool(day.get("closing")) >= 2
            ), path.stem
