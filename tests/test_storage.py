import os
import random

import lmdb
import pytest

from linkhaven.api import ServiceError
from linkhaven.controller import storage as module


class Later:
    def __init__(self):
        self.deeds = []

    def call_in(self, delay_us, deed):
        self.deeds.append(deed)

    def run(self):
        deeds, self.deeds = self.deeds, []
        for deed in deeds:
            deed()


def open_storage(folder, **given):
    disk, clock = module.LmdbStorage(str(folder), **given), Later()
    disk.attach(clock)
    return disk, clock


def test_writes_of_one_turn_are_answered_after_one_sync_and_are_there_on_the_next_start(tmp_path):
    disk, clock = open_storage(tmp_path / "data")
    told = []
    disk.write({"a": 1, "b": {"mark": 2}}, told.append)
    disk.write({"a": None}, told.append)
    assert told == []
    assert len(clock.deeds) == 1
    clock.run()
    assert told == [True, True]
    disk.close()
    again, _ = open_storage(tmp_path / "data")
    assert again.load() == {"b": {"mark": 2}}
    again.close()


def test_a_full_disk_answers_no_and_goes_on_when_there_is_room(tmp_path):
    disk, clock = open_storage(tmp_path / "data", most_bytes=65_536)
    told = []
    disk.write({"big": "x" * 200_000}, told.append)
    clock.run()
    disk.write({"small": "x"}, told.append)
    clock.run()
    assert told == [False, True]
    assert disk.load() == {"small": "x"}
    disk.close()


def test_a_folder_that_shut_itself_is_opened_again(tmp_path):
    disk, clock = open_storage(tmp_path / "data")
    disk.write({"a": 1}, lambda is_kept: None)
    clock.run()

    class Shut:
        def begin(self, write=False):
            raise lmdb.PanicError("head was not written")

        def close(self):
            shut.close()

    shut, disk.env = disk.env, Shut()
    told = []
    for value in (2, 3):
        disk.write({"a": value}, told.append)
        clock.run()
    assert told == [False, True]
    assert disk.load() == {"a": 3}
    disk.close()


def test_many_plans_and_renewals_keep_the_folder_small(tmp_path):
    """Two and a half minutes of a plan each 100 ms, and three duties renewed beside them, by the figures of a small disk."""
    folder, sizes = tmp_path / "data", random.Random(5)
    disk, clock = open_storage(folder, most_bytes=96 << 20)
    disk.env.close()
    disk.env = lmdb.open(str(folder), map_size=96 << 20, sync=False)
    told = []
    for turn in range(1_500):
        plan = "p" * sizes.randrange(20_000, 400_000)
        disk.write(
            {
                "cell/plan": [
                    [turn, "n"],
                    [turn, "n"],
                    {"mark": turn, "document": plan, "plan": plan},
                    0,
                ]
            },
            told.append,
        )
        clock.run()
        disk.write(
            {f"cell/duty/{turn % 3}": [[turn, "n"], [turn, "n"], {"fence": 1, "renewal": turn}, 0]},
            told.append,
        )
        clock.run()
    assert all(told)
    held = os.path.getsize(folder / "data.mdb")
    disk.close()
    assert held < 12 << 20, held


def test_a_folder_that_cannot_be_opened_is_a_coded_error(tmp_path):
    (tmp_path / "file").write_text("not a folder")
    with pytest.raises(ServiceError) as caught:
        module.LmdbStorage(str(tmp_path / "file"))
    assert caught.value.code == "disk_failing"


def spoil_head(file):
    file.write_bytes(b"not a data file" * 1_000)


def spoil_tail(file):
    file.write_bytes(file.read_bytes()[:9_000])


def spoil_record(file):
    import lmdb

    with lmdb.open(str(file.parent)) as env, env.begin(write=True) as txn:
        txn.put(b"cell/plan", b'[[1, "core-a"], [1, ')


@pytest.mark.parametrize("spoil", [spoil_head, spoil_tail, spoil_record])
def test_a_corrupt_or_half_written_folder_is_refused_with_a_code_and_left_as_it_is(tmp_path, spoil):
    disk, clock = open_storage(tmp_path / "data")
    for place in range(40):
        disk.write({f"cell/{place}": ["x" * 2_000]}, lambda is_kept: None)
        clock.run()
    disk.close()
    file = tmp_path / "data" / "data.mdb"
    spoil(file)
    before = file.read_bytes()
    with pytest.raises(ServiceError) as caught:
        open_storage(tmp_path / "data")
    assert caught.value.code == "disk_corrupt"
    assert file.read_bytes() == before


def filled(folder, node="core-1"):
    """A folder with some records, closed."""
    disk, clock = open_storage(folder, node=node)
    disk.write(
        {"seat": "a", "incarnation": 3, "cell/plan": [[2, "n"], [2, "n"], {"mark": 4}, 0]},
        lambda is_kept: None,
    )
    clock.run()
    disk.close()
    return folder / "data.mdb"


def put_raw(folder, key, stored):
    with lmdb.open(str(folder)) as env, env.begin(write=True) as txn:
        if stored is None:
            txn.delete(key)
        else:
            txn.put(key, stored)


def cut_to(length):
    def spoil(file):
        file.write_bytes(file.read_bytes()[:length])

    return spoil


def zero_head(file):
    file.write_bytes(b"\0" * 8_192 + file.read_bytes()[8_192:])


def lose_header(file):
    with lmdb.open(str(file.parent)) as env, env.begin(write=True) as txn:
        for key in [bytes(key) for key, _ in txn.cursor()]:
            txn.delete(key)


def flip_record(file):
    put_raw(file.parent, b"seat", module.pack_value(b"seat", "a")[:-2] + b'b"')


def move_record(file):
    """A good value under another key."""
    put_raw(file.parent, b"seat", module.pack_value(b"incarnation", 3))


SPOILS = [cut_to(0), cut_to(100), cut_to(4_096), cut_to(8_192), zero_head, lose_header]
SPOILS += [flip_record, move_record, spoil_head]


@pytest.mark.parametrize("spoil", SPOILS)
def test_no_spoilt_folder_is_read_as_empty(tmp_path, spoil):
    file = filled(tmp_path / "data")
    spoil(file)
    with pytest.raises(ServiceError) as caught:
        module.LmdbStorage(str(tmp_path / "data"), node="core-1")
    assert caught.value.code == "disk_corrupt"


@pytest.mark.parametrize("spoil", SPOILS)
def test_a_member_that_repairs_itself_sets_a_spoilt_folder_aside_and_says_so(tmp_path, spoil):
    file, told = filled(tmp_path / "data"), []
    spoil(file)
    before = file.read_bytes()
    disk = module.open_storage(
        str(tmp_path / "data"),
        1 << 20,
        "core-1",
        lambda number, **facts: told.append((number, facts.get("code"))),
        sets_aside=True,
    )
    assert told == [(1212, "disk_corrupt"), (1213, None)]
    assert disk.load() == {}
    assert (tmp_path / "data" / "data.mdb.refused").read_bytes() == before
    disk.close()


def test_a_set_aside_file_that_would_fill_the_disk_is_removed(tmp_path):
    file = filled(tmp_path / "data")
    spoil_head(file)
    module.open_storage(
        str(tmp_path / "data"), 96_000, "core-1", lambda *a, **f: None, True
    ).close()
    assert not (tmp_path / "data" / "data.mdb.refused").exists()


def test_a_folder_of_another_node_is_refused_with_its_code(tmp_path):
    filled(tmp_path / "data", node="core-7")
    with pytest.raises(ServiceError) as caught:
        module.LmdbStorage(str(tmp_path / "data"), node="core-1")
    assert caught.value.code == "disk_foreign"
    assert caught.value.detail["held"] == "core-7"


@pytest.mark.parametrize("held", [0, 2])
@pytest.mark.parametrize("sets_aside", [False, True])
def test_a_folder_of_another_format_is_refused_and_never_set_aside(tmp_path, held, sets_aside):
    file, told = filled(tmp_path / "data"), []
    header = {"format": held, "node": "core-1"}
    stored = module.pack_value(b"!header", header) if held else None
    put_raw(tmp_path / "data", b"!header", stored)
    before = file.read_bytes()
    with pytest.raises(ServiceError) as caught:
        module.open_storage(
            str(tmp_path / "data"),
            1 << 20,
            "core-1",
            lambda number, **facts: told.append(number),
            sets_aside,
        )
    assert caught.value.code == "disk_format"
    assert caught.value.detail["held"] == held
    assert told == [1212]
    assert file.read_bytes() == before


class Recorded(Exception):  # noqa: N818  it stands for a loss of power, not for an error
    """A loss of power at this call."""


@pytest.mark.parametrize("call", ["rename", "sync_folder"])
def test_a_first_start_that_loses_power_before_its_name_is_synced_starts_anew(
    tmp_path, monkeypatch, call
):
    """Made, renamed and synced: each step kept or lost by itself leaves no file, or a whole one."""
    folder = tmp_path / "data"
    folder.mkdir()

    def lose_power(*given):
        raise Recorded

    with monkeypatch.context() as patch:
        patch.setattr(module.os if call == "rename" else module, call, lose_power)
        with pytest.raises(Recorded):
            module.LmdbStorage(str(folder), node="core-1")
    names = set(os.listdir(folder))
    assert names == {"data.mdb.new"} if call == "rename" else names == {"data.mdb"}
    disk = module.LmdbStorage(str(folder), node="core-1")
    assert disk.load() == {}
    assert set(os.listdir(folder)) == {"data.mdb", "lock.mdb"}
    disk.close()


def kept_both(folder):
    (folder / "data.mdb.new").write_bytes((folder / "data.mdb").read_bytes())


def torn_new(folder):
    (folder / "data.mdb.new").write_bytes(b"\0" * 5_000)


def no_lock(folder):
    (folder / "lock.mdb").unlink()


def empty_lock(folder):
    (folder / "lock.mdb").write_bytes(b"")


def torn_lock(folder):
    (folder / "lock.mdb").write_bytes(os.urandom(8_192))


def old_refused(folder):
    (folder / "data.mdb.refused").write_bytes(b"left by an earlier day")


@pytest.mark.parametrize(
    "change", [kept_both, torn_new, no_lock, empty_lock, torn_lock, old_refused]
)
def test_a_name_kept_or_lost_by_itself_beside_the_data_changes_nothing(tmp_path, change):
    folder = tmp_path / "data"
    filled(folder)
    change(folder)
    disk = module.LmdbStorage(str(folder), node="core-1")
    assert disk.load()["incarnation"] == 3
    assert not (folder / "data.mdb.new").exists()
    disk.close()


def test_a_rename_aside_that_was_lost_is_made_again(tmp_path):
    """Power was lost between the rename of the refused file and its folder's sync: it stands as before."""
    file = filled(tmp_path / "data")
    spoil_head(file)
    before = file.read_bytes()
    module.set_aside(str(tmp_path / "data"), 1 << 20)
    os.rename(tmp_path / "data" / "data.mdb.refused", file)
    told = []
    disk = module.open_storage(
        str(tmp_path / "data"), 1 << 20, "core-1", lambda *a, **f: told.append(a[0]), True
    )
    assert told == [1212, 1213]
    assert (tmp_path / "data" / "data.mdb.refused").read_bytes() == before
    disk.close()


def test_what_a_restart_reads_is_what_is_in_force_whatever_the_number_of_changes(tmp_path):
    sizes = []
    for changes in (10, 400):
        folder = tmp_path / f"data-{changes}"
        disk, clock = open_storage(folder, most_bytes=32 << 20)
        for turn in range(changes):
            cell = [[turn, "n"], [turn, "n"], {"mark": turn, "document": "p" * 20_000}, 0]
            disk.write({"cell/plan": cell}, lambda is_kept: None)
            clock.run()
        sizes.append((len(str(disk.load())), os.path.getsize(folder / "data.mdb")))
        disk.close()
    (read, held), (read_long, held_long) = sizes
    assert read_long - read < 20
    assert held_long < 2 * held, sizes


def test_a_start_reads_the_folder_once_and_a_write_is_read_back(tmp_path):
    filled(tmp_path / "data")
    disk, clock = open_storage(tmp_path / "data", node="core-1")
    first = disk.load()
    first["seat"] = "changed by its reader"
    assert disk.load()["seat"] == "a"
    disk.write({"seat": "b"}, lambda is_kept: None)
    disk.load()
    clock.run()
    assert disk.load()["seat"] == "b"
    disk.close()
