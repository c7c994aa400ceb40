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


def open_disk(folder):
    disk, clock = module.LmdbDisk(str(folder)), Later()
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


def test_a_full_disk_answers_no_and_goes_on_when_there_is_room(tmp_path, monkeypatch):
    monkeypatch.setattr(module, "MAP_BYTES", 65_536)
    disk, clock = open_disk(tmp_path / "data")
    told = []
    disk.write({"big": "x" * 200_000}, told.append)
    clock.run()
    disk.write({"small": "x"}, told.append)
    clock.run()
    assert told == [False, True]
    assert disk.load() == {"small": "x"}
    disk.close()


def test_a_folder_that_cannot_be_opened_is_a_coded_trouble(tmp_path):
    (tmp_path / "file").write_text("not a folder")
    with pytest.raises(Trouble) as caught:
        module.LmdbDisk(str(tmp_path / "file"))
    assert caught.value.code == "disk_failing"
