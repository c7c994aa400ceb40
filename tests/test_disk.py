import os
import random

import lmdb
import pytest

from linkhaven.registry import disk as module
from linkhaven.schema import Trouble


class Later:
    def __init__(self):
        self.deeds = []

    def call_in(self, delay_us, deed):
        self.deeds.append(deed)

    def run(self):
        deeds, self.deeds = self.deeds, []
        for deed in deeds:
            deed()


def open_disk(folder, **given):
    disk, clock = module.LmdbDisk(str(folder), **given), Later()
    disk.attach(clock)
    return disk, clock


def test_writes_of_one_turn_are_answered_after_one_sync_and_are_there_on_the_next_start(tmp_path):
    disk, clock = open_disk(tmp_path / "data")
    told = []
    disk.write({"a": 1, "b": {"mark": 2}}, told.append)
    disk.write({"a": None}, told.append)
    assert told == []
    assert len(clock.deeds) == 1
    clock.run()
    assert told == [True, True]
    disk.close()
    again, _ = open_disk(tmp_path / "data")
    assert again.load() == {"b": {"mark": 2}}
    again.close()


def test_a_full_disk_answers_no_and_goes_on_when_there_is_room(tmp_path):
    disk, clock = open_disk(tmp_path / "data", most_bytes=65_536)
    told = []
    disk.write({"big": "x" * 200_000}, told.append)
    clock.run()
    disk.write({"small": "x"}, told.append)
    clock.run()
    assert told == [False, True]
    assert disk.load() == {"small": "x"}
    disk.close()


def test_a_folder_that_shut_itself_is_opened_again(tmp_path):
    disk, clock = open_disk(tmp_path / "data")
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
    disk, clock = open_disk(folder, most_bytes=96 << 20)
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


def test_a_folder_that_cannot_be_opened_is_a_coded_trouble(tmp_path):
    (tmp_path / "file").write_text("not a folder")
    with pytest.raises(Trouble) as caught:
        module.LmdbDisk(str(tmp_path / "file"))
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
    disk, clock = open_disk(tmp_path / "data")
    for place in range(40):
        disk.write({f"cell/{place}": ["x" * 2_000]}, lambda is_kept: None)
        clock.run()
    disk.close()
    file = tmp_path / "data" / "data.mdb"
    spoil(file)
    before = file.read_bytes()
    with pytest.raises(Trouble) as caught:
        open_disk(tmp_path / "data")
    assert caught.value.code == "disk_corrupt"
    assert file.read_bytes() == before
