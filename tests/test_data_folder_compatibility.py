"""A core started on the data folders of version 6c079fa keeps its data.

`recordings/data-6c079fa/` holds the compressed `data.mdb` files of three core members as 6c079fa
left them, after a plan was put and patched, a key was claimed and all leases were won, together
with the answers that the members gave. `python tests/test_data_folder_compatibility.py FOLDER`
writes this recording; run it only on an unmodified 6c079fa.
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


class DataFolderDisk:
    """A real data folder in the simulated world; a crash loses the writes that are not synced."""

    def __init__(self, folder, name):
        self.disk = LmdbStorage(str(folder), 1 << 24, name)
        self.host = None
        self.epoch = 0
        self.disk.attach(self)

    def call_in(self, delay_us, callback):
        epoch = self.epoch
        after = self.host.world.after
        after(delay_us + 1_000, lambda: self.host.do(callback) if epoch == self.epoch else None)

    def load(self):
        return self.disk.load()

    def write(self, items, done):
        self.disk.write(items, done)

    def crash(self):
        self.epoch += 1
        self.disk.pending.clear()


def fleet_on(folders, start_us=0):
    """Create a fleet whose core members keep their data in these folders."""
    fleet = SimFleet(LICENSING, 31)
    fleet.world.now_us = start_us
    for seat in SEATS:
        host = fleet.registries[seat]
        host.disk = DataFolderDisk(folders / host.name, host.name)
        host.disk.host = host
    return fleet


def call(fleet, seat, method, path, document=None):
    """Send an operator's call to a member; returns the status and the document."""
    answers = []
    operator = fleet.operators[0].node
    address = fleet.registries[seat].address
    operator._call(address, method, path, document, lambda *answer: answers.append(answer))
    fleet.world.wait_for(lambda: answers, 5 * SECOND, 10_000)
    return list(answers[0])


def replica_states(fleet):
    return [call(fleet, seat, "GET", "/v1/core")[1]["standing"] for seat in SEATS]


def fencing_tokens(fleet):
    duties = call(fleet, "a", "GET", "/v1/core")[1]["duties"]
    return {name: duty["fence"] for name, duty in duties.items()}


def send_request(fleet):
    request = fleet.ask(KIND, [fleet.routers["edge-1"].address], key=KEY)
    fleet.world.wait_for(lambda: request.ended_us is not None, 20 * SECOND)
    return request


def stored(folder):
    """All records of a folder, as stored."""
    with lmdb.open(str(folder), readonly=True) as env, env.begin() as txn:
        return {bytes(key).decode(): bytes(value).decode() for key, value in txn.cursor()}


def start_all(fleet):
    """Start every process and wait until all three members vote."""
    hosts = [fleet.platform, *fleet.runners.values(), *fleet.registries.values()]
    for host in [*hosts, *fleet.routers.values(), fleet.caller, *fleet.operators]:
        host.start()
    fleet.list_runners(at_once=True)
    are_up = fleet.world.wait_for(lambda: replica_states(fleet) == ["voting"] * 3, 20 * SECOND)
    assert are_up, replica_states(fleet)


@pytest.fixture
def folders(tmp_path):
    for packed in sorted(RECORDED.glob("*.mdb.gz")):
        folder = tmp_path / packed.name.removesuffix(".mdb.gz")
        folder.mkdir()
        (folder / "data.mdb").write_bytes(gzip.decompress(packed.read_bytes()))
    return tmp_path


@pytest.fixture
def recorded():
    return json.loads((RECORDED / "told.json").read_text())


def restarted(folders, recorded):
    fleet = fleet_on(folders, recorded["ended_us"] + 60 * SECOND)
    start_all(fleet)
    return fleet


def test_the_folders_hold_the_recorded_records(folders, recorded):
    for name, records in recorded["records"].items():
        assert stored(folders / name) == records, name


@pytest.mark.parametrize("seat", SEATS)
def test_records_that_are_read_are_written_back_byte_for_byte(folders, recorded, tmp_path, seat):
    """Reads each record from its folder and writes it to a new one."""
    name, callbacks = f"core-{seat}", []
    again = LmdbStorage(str(tmp_path / "again"), 1 << 24, name)
    again.attach(SimpleNamespace(call_in=lambda delay_us, callback: callbacks.append(callback)))
    stored_folder = LmdbStorage(str(folders / name), 1 << 24, name)
    again.write(stored_folder.load(), lambda is_kept: None)
    callbacks[0]()
    stored_folder.close()
    again.close()
    assert stored(tmp_path / "again") == recorded["records"][name]


def test_the_core_serves_the_same_plan_with_the_same_version(folders, recorded):
    fleet = restarted(folders, recorded)
    for seat in SEATS:
        assert call(fleet, seat, "GET", "/v1/plan") == recorded["plan"], seat


def test_the_members_keep_their_replicas_and_increase_their_incarnations(folders, recorded):
    fleet = restarted(folders, recorded)
    for seat in SEATS:
        _, document = call(fleet, seat, "GET", "/v1/core")
        former = recorded["cores"][seat][1]
        assert document["seat"] == former["seat"] == seat
        assert document["incarnation"] > former["incarnation"]


def test_a_key_claimed_by_the_earlier_version_stays_claimed(folders, recorded):
    fleet = restarted(folders, recorded)
    assert fleet.world.wait_for(fleet.is_ready, 20 * SECOND)
    request = send_request(fleet)
    assert [request.status, request.code] == recorded["claimed_again"]


def test_a_lease_that_is_won_again_has_a_higher_fencing_token(folders, recorded):
    fleet = restarted(folders, recorded)
    assert fleet.world.wait_for(fleet.are_duties_held, 20 * SECOND)
    now = fencing_tokens(fleet)
    assert sorted(now) == sorted(recorded["fences"])
    assert all(now[name] > fence for name, fence in recorded["fences"].items()), now


def test_the_core_accepts_the_next_change_and_still_knows_earlier_ones(folders, recorded):
    fleet = restarted(folders, recorded)
    mark = recorded["plan"][1]["mark"]
    again = call(fleet, "b", "PUT", "/v1/plan", recorded["put"])
    assert again == recorded["put_answer"]
    change = {"expect": mark, "put_id": "next", "plan": LICENSING.plan()}
    assert call(fleet, "c", "PUT", "/v1/plan", change) == [
        200,
        {"mark": mark + 1, "put_id": "next"},
    ]
    for seat in SEATS:
        assert call(fleet, seat, "GET", "/v1/plan")[1]["mark"] == mark + 1


def test_two_folders_are_enough(folders, recorded):
    (folders / "core-b" / "data.mdb").unlink()
    fleet = restarted(folders, recorded)
    for seat in SEATS:
        assert call(fleet, seat, "GET", "/v1/plan") == recorded["plan"], seat


def record(target):
    """Run the recorded scenario, and write the folders and the answers to `target`."""
    with tempfile.TemporaryDirectory() as place:
        fleet = fleet_on(Path(place))
        start_all(fleet)
        fleet.world.run_for(SECOND)
        put = {"expect": 0, "put_id": "first", "plan": LICENSING.plan()}
        put_answer = call(fleet, "a", "PUT", "/v1/plan", put)
        group = {"credit": {"tokens": 50_000, "period_us": 10 * SECOND}, "weight": 2.0}
        patch = {"expect": 1, "put_id": "second", "upserts": {"groups": {"more": group}}}
        call(fleet, "b", "PATCH", "/v1/plan", patch)
        fleet.world.wait_for(lambda: fleet.is_ready() and fleet.are_duties_held())
        requests = [send_request(fleet) for _ in range(2)]
        fleet.world.run_for(2 * SECOND)
        recorded = {
            "plan": call(fleet, "a", "GET", "/v1/plan"),
            "put": put,
            "put_answer": put_answer,
            "cores": {seat: call(fleet, seat, "GET", "/v1/core") for seat in SEATS},
            "fences": fencing_tokens(fleet),
            "claimed": [requests[0].status, requests[0].code],
            "claimed_again": [requests[1].status, requests[1].code],
            "ended_us": fleet.world.now_us,
        }
        for host in fleet.registries.values():
            host.kill()
            host.disk.disk.close()
        recorded["records"] = {}
        for host in fleet.registries.values():
            folder = Path(place) / host.name
            packed = gzip.compress((folder / "data.mdb").read_bytes(), mtime=0)
            (target / f"{host.name}.mdb.gz").write_bytes(packed)
            recorded["records"][host.name] = stored(folder)
        (target / "told.json").write_text(json.dumps(recorded, ensure_ascii=False, indent=1) + "\n")


if __name__ == "__main__":
    record(Path(sys.argv[1]))
