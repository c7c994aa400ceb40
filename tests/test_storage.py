"""The data folder of a core member: synced writes, and corrupt or foreign folders.

A folder that can't be read completely must never be treated as empty, since the member would then
vote again where it has already voted.
"""

import os
import random

import lmdb
import pytest

from linkhaven.api import ServiceError
from linkhaven.controller import storage as module


class FakeClock:
    def __init__(self):
        self.callbacks = []

    def call_in(self, delay_us, callback):
        self.callbacks.append(callback)

    def run(self):
        callbacks, self.callbacks = self.callbacks, []
        for callback in callbacks:
            callback()


def open_storage(folder, **given):
    disk, clock = module.LmdbStorage(str(folder), **given), FakeClock()
    disk.attach(clock)
    return disk, clock


def test_writes_of_one_loop_iteration_share_one_sync_and_survive_a_restart(tmp_path):
    disk, clock = open_storage(tmp_path / "data")
    results = []
    disk.write({"a": 1, "b": {"mark": 2}}, results.append)
    disk.write({"a": None}, results.append)
    assert results == []
    assert len(clock.callbacks) == 1
    clock.run()
    assert results == [True, True]
    disk.close()
    again, _ = open_storage(tmp_path / "data")
    assert again.load() == {"b": {"mark": 2}}
    again.close()


def test_a_full_disk_fails_the_write_and_works_again_when_there_is_room(tmp_path):
    disk, clock = open_storage(tmp_path / "data", max_bytes=65_536)
    results = []
    disk.write({"big": "x" * 200_000}, results.append)
    clock.run()
    disk.write({"small": "x"}, results.append)
    clock.run()
    assert results == [False, True]
    assert disk.load() == {"small": "x"}
    disk.close()


def test_an_environment_that_lmdb_disabled_is_reopened(tmp_path):
    disk, clock = open_storage(tmp_path / "data")
    disk.write({"a": 1}, lambda is_kept: None)
    clock.run()

    class DisabledEnvironment:
        def begin(self, write=False):
            raise lmdb.PanicError("meta page was not written")

        def close(self):
            environment.close()

    environment, disk.env = disk.env, DisabledEnvironment()
    results = []
    for value in (2, 3):
        disk.write({"a": value}, results.append)
        clock.run()
    assert results == [False, True]
    assert disk.load() == {"a": 3}
    disk.close()


def test_many_plans_and_renewals_keep_the_folder_small(tmp_path):
    """2.5 minutes with a new plan every 100 ms while three leases are renewed, on a small disk."""
    folder, sizes = tmp_path / "data", random.Random(5)
    disk, clock = open_storage(folder, max_bytes=96 << 20)
    disk.env.close()
    disk.env = lmdb.open(str(folder), map_size=96 << 20, sync=False)
    results = []
    for number in range(1_500):
        plan = "p" * sizes.randrange(20_000, 400_000)
        disk.write(
            {
                "cell/plan": [
                    [number, "n"],
                    [number, "n"],
                    {"mark": number, "document": plan, "plan": plan},
                    0,
                ]
            },
            results.append,
        )
        clock.run()
        disk.write(
            {
                f"cell/duty/{number % 3}": [
                    [number, "n"],
                    [number, "n"],
                    {"fence": 1, "renewal": number},
                    0,
                ]
            },
            results.append,
        )
        clock.run()
    assert all(results)
    held = os.path.getsize(folder / "data.mdb")
    disk.close()
    assert held < 12 << 20, held


def test_a_folder_that_cannot_be_opened_is_a_coded_error(tmp_path):
    (tmp_path / "file").write_text("not a folder")
    with pytest.raises(ServiceError) as caught:
        module.LmdbStorage(str(tmp_path / "file"))
    assert caught.value.code == "disk_failing"


def overwrite_file(file):
    file.write_bytes(b"not a data file" * 1_000)


def truncate_file(file):
    file.write_bytes(file.read_bytes()[:9_000])


def write_invalid_record(file):
    import lmdb

    with lmdb.open(str(file.parent)) as env, env.begin(write=True) as txn:
        txn.put(b"cell/plan", b'[[1, "core-a"], [1, ')


@pytest.mark.parametrize("corrupt", [overwrite_file, truncate_file, write_invalid_record])
def test_a_corrupt_or_half_written_folder_is_refused_with_a_code_and_left_as_it_is(
    tmp_path, corrupt
):
    disk, clock = open_storage(tmp_path / "data")
    for place in range(40):
        disk.write({f"cell/{place}": ["x" * 2_000]}, lambda is_kept: None)
        clock.run()
    disk.close()
    file = tmp_path / "data" / "data.mdb"
    corrupt(file)
    before = file.read_bytes()
    with pytest.raises(ServiceError) as caught:
        open_storage(tmp_path / "data")
    assert caught.value.code == "disk_corrupt"
    assert file.read_bytes() == before


def folder_with_records(folder, node="core-1"):
    """Create a folder with some records, close it, and return the path of its data file."""
    disk, clock = open_storage(folder, node=node)
    disk.write(
        {"seat": "a", "incarnation": 3, "cell/plan": [[2, "n"], [2, "n"], {"mark": 4}, 0]},
        lambda is_kept: None,
    )
    clock.run()
    disk.close()
    return folder / "data.mdb"


def write_raw(folder, key, stored):
    with lmdb.open(str(folder)) as env, env.begin(write=True) as txn:
        if stored is None:
            txn.delete(key)
        else:
            txn.put(key, stored)


def truncate_to(length):
    def corrupt(file):
        file.write_bytes(file.read_bytes()[:length])

    return corrupt


def zero_first_pages(file):
    file.write_bytes(b"\0" * 8_192 + file.read_bytes()[8_192:])


def delete_all_records(file):
    with lmdb.open(str(file.parent)) as env, env.begin(write=True) as txn:
        for key in [bytes(key) for key, _ in txn.cursor()]:
            txn.delete(key)


def corrupt_record_value(file):
    write_raw(file.parent, b"seat", module.pack_value(b"seat", "a")[:-2] + b'b"')


def copy_value_to_other_key(file):
    """A valid value stored under the wrong key."""
    write_raw(file.parent, b"seat", module.pack_value(b"incarnation", 3))


CORRUPTIONS = [
    truncate_to(0),
    truncate_to(100),
    truncate_to(4_096),
    truncate_to(8_192),
    zero_first_pages,
    delete_all_records,
]
CORRUPTIONS += [corrupt_record_value, copy_value_to_other_key, overwrite_file]


@pytest.mark.parametrize("corrupt", CORRUPTIONS)
def test_no_corrupt_folder_is_read_as_empty(tmp_path, corrupt):
    file = folder_with_records(tmp_path / "data")
    corrupt(file)
    with pytest.raises(ServiceError) as caught:
        module.LmdbStorage(str(tmp_path / "data"), node="core-1")
    assert caught.value.code == "disk_corrupt"


@pytest.mark.parametrize("corrupt", CORRUPTIONS)
def test_a_corrupt_folder_is_set_aside_and_logged_if_that_is_enabled(tmp_path, corrupt):
    file, logged = folder_with_records(tmp_path / "data"), []
    corrupt(file)
    before = file.read_bytes()
    disk = module.open_storage(
        str(tmp_path / "data"),
        1 << 20,
        "core-1",
        lambda number, **facts: logged.append((number, facts.get("code"))),
        sets_aside=True,
    )
    assert logged == [(1212, "disk_corrupt"), (1213, None)]
    assert disk.load() == {}
    assert (tmp_path / "data" / "data.mdb.refused").read_bytes() == before
    disk.close()


def test_a_set_aside_file_that_would_fill_the_disk_is_removed(tmp_path):
    file = folder_with_records(tmp_path / "data")
    overwrite_file(file)
    module.open_storage(
        str(tmp_path / "data"), 96_000, "core-1", lambda *a, **f: None, True
    ).close()
    assert not (tmp_path / "data" / "data.mdb.refused").exists()


def test_a_folder_of_another_node_is_refused_with_its_code(tmp_path):
    folder_with_records(tmp_path / "data", node="core-7")
    with pytest.raises(ServiceError) as caught:
        module.LmdbStorage(str(tmp_path / "data"), node="core-1")
    assert caught.value.code == "disk_foreign"
    assert caught.value.detail["held"] == "core-7"


@pytest.mark.parametrize("held", [0, 2])
@pytest.mark.parametrize("sets_aside", [False, True])
def test_a_folder_of_another_format_is_refused_and_never_set_aside(tmp_path, held, sets_aside):
    file, logged = folder_with_records(tmp_path / "data"), []
    header = {"format": held, "node": "core-1"}
    stored = module.pack_value(b"!header", header) if held else None
    write_raw(tmp_path / "data", b"!header", stored)
    before = file.read_bytes()
    with pytest.raises(ServiceError) as caught:
        module.open_storage(
            str(tmp_path / "data"),
            1 << 20,
            "core-1",
            lambda number, **facts: logged.append(number),
            sets_aside,
        )
    assert caught.value.code == "disk_format"
    assert caught.value.detail["held"] == held
    assert logged == [1212]
    assert file.read_bytes() == before


class PowerLoss(Exception):  # noqa: N818  stands for a power loss, not an error
    """Simulates a power loss at the patched call."""


@pytest.mark.parametrize("call", ["rename", "sync_folder"])
def test_a_first_start_that_loses_power_before_its_name_is_synced_starts_anew(
    tmp_path, monkeypatch, call
):
    """The file is created, renamed and synced; after any step it is either absent or complete."""
    folder = tmp_path / "data"
    folder.mkdir()

    def lose_power(*given):
        raise PowerLoss

    with monkeypatch.context() as patch:
        patch.setattr(module.os if call == "rename" else module, call, lose_power)
        with pytest.raises(PowerLoss):
            module.LmdbStorage(str(folder), node="core-1")
    names = set(os.listdir(folder))
    assert names == {"data.mdb.new"} if call == "rename" else names == {"data.mdb"}
    disk = module.LmdbStorage(str(folder), node="core-1")
    assert disk.load() == {}
    assert set(os.listdir(folder)) == {"data.mdb", "lock.mdb"}
    disk.close()


def add_complete_new_file(folder):
    (folder / "data.mdb.new").write_bytes((folder / "data.mdb").read_bytes())


def add_torn_new_file(folder):
    (folder / "data.mdb.new").write_bytes(b"\0" * 5_000)


def remove_lock(folder):
    (folder / "lock.mdb").unlink()


def truncate_lock(folder):
    (folder / "lock.mdb").write_bytes(b"")


def corrupt_lock(folder):
    (folder / "lock.mdb").write_bytes(os.urandom(8_192))


def add_refused_file(folder):
    (folder / "data.mdb.refused").write_bytes(b"left by an earlier day")


@pytest.mark.parametrize(
    "change",
    [
        add_complete_new_file,
        add_torn_new_file,
        remove_lock,
        truncate_lock,
        corrupt_lock,
        add_refused_file,
    ],
)
def test_other_files_present_or_missing_beside_the_data_change_nothing(tmp_path, change):
    folder = tmp_path / "data"
    folder_with_records(folder)
    change(folder)
    disk = module.LmdbStorage(str(folder), node="core-1")
    assert disk.load()["incarnation"] == 3
    assert not (folder / "data.mdb.new").exists()
    disk.close()


def test_setting_aside_is_repeated_if_its_rename_was_lost(tmp_path):
    """A power loss between the rename and the folder's sync can leave the file under its old name."""
    file = folder_with_records(tmp_path / "data")
    overwrite_file(file)
    before = file.read_bytes()
    module.set_aside(str(tmp_path / "data"), 1 << 20)
    os.rename(tmp_path / "data" / "data.mdb.refused", file)
    logged = []
    disk = module.open_storage(
        str(tmp_path / "data"), 1 << 20, "core-1", lambda *a, **f: logged.append(a[0]), True
    )
    assert logged == [1212, 1213]
    assert (tmp_path / "data" / "data.mdb.refused").read_bytes() == before
    disk.close()


def test_the_data_read_at_a_restart_does_not_grow_with_the_number_of_changes(tmp_path):
    sizes = []
    for changes in (10, 400):
        folder = tmp_path / f"data-{changes}"
        disk, clock = open_storage(folder, max_bytes=32 << 20)
        for number in range(changes):
            cell = [[number, "n"], [number, "n"], {"mark": number, "document": "p" * 20_000}, 0]
            disk.write({"cell/plan": cell}, lambda is_kept: None)
            clock.run()
        sizes.append((len(str(disk.load())), os.path.getsize(folder / "data.mdb")))
        disk.close()
    (read, held), (read_long, held_long) = sizes
    assert read_long - read < 20
    assert held_long < 2 * held, sizes


def test_a_start_reads_the_folder_once_and_a_write_is_read_back(tmp_path):
    folder_with_records(tmp_path / "data")
    disk, clock = open_storage(tmp_path / "data", node="core-1")
    first = disk.load()
    first["seat"] = "changed by its reader"
    assert disk.load()["seat"] == "a"
    disk.write({"seat": "b"}, lambda is_kept: None)
    disk.load()
    clock.run()
    assert disk.load()["seat"] == "b"
    disk.close()
