"""A core that finds the data folders that 6c079fa wrote goes on with them.

`recordings/data-6c079fa/` has the `data.mdb` of three core members, compressed, as 6c079fa left
them in a whole fleet after a plan was put and patched, a key was claimed and all duties were won,
and what they served. `python tests/test_data_folder_of_6c079fa.py FOLDER` writes it, on an
untouched 6c079fa only.
"""

import gzip
import json
import sys
import tempfile
from pathlib import Path
from types import SimpleNamespace

import lmdb
import pytest
from recorded_world import LICENSING, SimFleet

from linkhaven.controller.storage import LmdbStorage

RECORDED = Path(__file__).parent / "recordings" / "data-6c079fa"
SECOND = 1_000_000
SEATS = "abc"
KIND, KEY = "entitlement-check", "form-1"


class Folder:
    """A member's real data folder in the simulated world; what is under way is lost in a crash."""

    def __init__(self, folder, name):
        self.disk = LmdbStorage(str(folder), 1 << 24, name)
        self.host = None
        self.epoch = 0
        self.disk.attach(self)

    def call_in(self, delay_us, deed):
        epoch = self.epoch
        after = self.host.world.after
        after(delay_us + 1_000, lambda: self.host.do(deed) if epoch == self.epoch else None)

    def load(self):
        return self.disk.load()

    def write(self, items, done):
        self.disk.write(items, done)

    def crash(self):
        self.epoch += 1
        self.disk.waiting.clear()


def fleet_on(folders, begun_us=0):
    """A fleet whose core members keep their data in these folders."""
    stage = SimFleet(LICENSING, 31)
    stage.world.now_us = begun_us
    for seat in SEATS:
        host = stage.registries[seat]
        host.disk = Folder(folders / host.name, host.name)
        host.disk.host = host
    return stage


def call(stage, seat, method, path, document=None):
    """What a member answers an operator: status and document."""
    told = []
    operator = stage.operators[0].node
    address = stage.registries[seat].address
    operator._call(address, method, path, document, lambda *words: told.append(words))
    stage.world.wait_for(lambda: told, 5 * SECOND, 10_000)
    return list(told[0])


def standings(stage):
    return [call(stage, seat, "GET", "/v1/core")[1]["standing"] for seat in SEATS]


def fences(stage):
    duties = call(stage, "a", "GET", "/v1/core")[1]["duties"]
    return {name: duty["fence"] for name, duty in duties.items()}


def ask(stage):
    asked = stage.ask(KIND, [stage.routers["edge-1"].address], key=KEY)
    stage.world.wait_for(lambda: asked.ended_us is not None, 20 * SECOND)
    return asked


def stored(folder):
    """The bytes of all records of a folder."""
    with lmdb.open(str(folder), readonly=True) as env, env.begin() as txn:
        return {bytes(key).decode(): bytes(value).decode() for key, value in txn.cursor()}


def run_all(stage):
    """Start every process; answers once all three members vote."""
    hosts = [stage.platform, *stage.runners.values(), *stage.registries.values()]
    for host in [*hosts, *stage.routers.values(), stage.caller, *stage.operators]:
        host.start()
    stage.list_runners(at_once=True)
    are_up = stage.world.wait_for(lambda: standings(stage) == ["voting"] * 3, 20 * SECOND)
    assert are_up, standings(stage)


@pytest.fixture
def folders(tmp_path):
    for packed in sorted(RECORDED.glob("*.mdb.gz")):
        folder = tmp_path / packed.name.removesuffix(".mdb.gz")
        folder.mkdir()
        (folder / "data.mdb").write_bytes(gzip.decompress(packed.read_bytes()))
    return tmp_path


@pytest.fixture
def told():
    return json.loads((RECORDED / "told.json").read_text())


def restarted(folders, told):
    stage = fleet_on(folders, told["ended_us"] + 60 * SECOND)
    run_all(stage)
    return stage


def test_the_folders_hold_the_recorded_records(folders, told):
    for name, records in told["records"].items():
        assert stored(folders / name) == records, name


@pytest.mark.parametrize("seat", SEATS)
def test_what_is_read_is_stored_again_byte_for_byte(folders, told, tmp_path, seat):
    """Each record through the folder's reader and writer, into a new folder."""
    name, deeds = f"core-{seat}", []
    again = LmdbStorage(str(tmp_path / "again"), 1 << 24, name)
    again.attach(SimpleNamespace(call_in=lambda delay_us, deed: deeds.append(deed)))
    held = LmdbStorage(str(folders / name), 1 << 24, name)
    again.write(held.load(), lambda is_kept: None)
    deeds[0]()
    held.close()
    again.close()
    assert stored(tmp_path / "again") == told["records"][name]


def test_the_core_serves_the_same_plan_at_the_same_mark(folders, told):
    stage = restarted(folders, told)
    for seat in SEATS:
        assert call(stage, seat, "GET", "/v1/plan") == told["plan"], seat


def test_the_members_keep_their_seats_and_raise_their_incarnations(folders, told):
    stage = restarted(folders, told)
    for seat in SEATS:
        _, document = call(stage, seat, "GET", "/v1/core")
        was = told["cores"][seat][1]
        assert document["seat"] == was["seat"] == seat
        assert document["incarnation"] > was["incarnation"]


def test_a_key_that_was_claimed_then_is_used_now(folders, told):
    stage = restarted(folders, told)
    assert stage.world.wait_for(stage.is_ready, 20 * SECOND)
    asked = ask(stage)
    assert [asked.status, asked.code] == told["claimed_again"]


def test_a_duty_that_is_won_again_has_a_higher_fence(folders, told):
    stage = restarted(folders, told)
    assert stage.world.wait_for(stage.are_duties_held, 20 * SECOND)
    now = fences(stage)
    assert sorted(now) == sorted(told["fences"])
    assert all(now[name] > fence for name, fence in told["fences"].items()), now


def test_the_core_takes_the_next_change_and_still_knows_the_orders_of_then(folders, told):
    stage = restarted(folders, told)
    mark = told["plan"][1]["mark"]
    again = call(stage, "b", "PUT", "/v1/plan", told["put"])
    assert again == told["put_answer"]
    order = {"expect": mark, "put_id": "next", "plan": LICENSING.plan()}
    assert call(stage, "c", "PUT", "/v1/plan", order) == [200, {"mark": mark + 1, "put_id": "next"}]
    for seat in SEATS:
        assert call(stage, seat, "GET", "/v1/plan")[1]["mark"] == mark + 1


def test_two_folders_are_enough(folders, told):
    (folders / "core-b" / "data.mdb").unlink()
    stage = restarted(folders, told)
    for seat in SEATS:
        assert call(stage, seat, "GET", "/v1/plan") == told["plan"], seat


def record(target):
    """Play the course of the fixture and write down the folders and what was served."""
    with tempfile.TemporaryDirectory() as place:
        stage = fleet_on(Path(place))
        run_all(stage)
        stage.world.run_for(SECOND)
        put = {"expect": 0, "put_id": "first", "plan": LICENSING.plan()}
        put_answer = call(stage, "a", "PUT", "/v1/plan", put)
        group = {"credit": {"tokens": 50_000, "period_us": 10 * SECOND}, "weight": 2.0}
        patch = {"expect": 1, "put_id": "second", "upserts": {"groups": {"more": group}}}
        call(stage, "b", "PATCH", "/v1/plan", patch)
        stage.world.wait_for(lambda: stage.is_ready() and stage.are_duties_held())
        asked = [ask(stage) for _ in range(2)]
        stage.world.run_for(2 * SECOND)
        told = {
            "plan": call(stage, "a", "GET", "/v1/plan"),
            "put": put,
            "put_answer": put_answer,
            "cores": {seat: call(stage, seat, "GET", "/v1/core") for seat in SEATS},
            "fences": fences(stage),
            "claimed": [asked[0].status, asked[0].code],
            "claimed_again": [asked[1].status, asked[1].code],
            "ended_us": stage.world.now_us,
        }
        for host in stage.registries.values():
            host.kill()
            host.disk.disk.close()
        told["records"] = {}
        for host in stage.registries.values():
            folder = Path(place) / host.name
            packed = gzip.compress((folder / "data.mdb").read_bytes(), mtime=0)
            (target / f"{host.name}.mdb.gz").write_bytes(packed)
            told["records"][host.name] = stored(folder)
        (target / "told.json").write_text(json.dumps(told, ensure_ascii=False, indent=1) + "\n")


if __name__ == "__main__":
    record(Path(sys.argv[1]))
