"""Blobs of documents and source texts: synced before a vote, sent once to each router.

Guards against a majority that votes for a record whose document no node has, and against routers
that take a document other than the one whose digest the record names.
"""

import json

import pytest

from linkhaven.configuration.blob_guard import BlobGuard
from linkhaven.configuration.blobs import MAX_CACHED_BLOBS, BlobStore
from linkhaven.configuration.history import digest_of
from linkhaven.configuration.messages import BlobDelivery, read_watch_response
from linkhaven.configuration.packing import BlobMismatchError, open_blob, pack_blob
from linkhaven.configuration.records import digests_of
from linkhaven.consensus import Promise, RegisterState
from linkhaven.router import RouterNode
from linkhaven.runtime import Bounds, kind_of
from linkhaven.stage.core import SimCore
from linkhaven.stage.world import Host, SimDisk

SECOND = 1_000_000
MS = 1_000


def make_plan(weight):
    kind = {"group": "g", "ttft_us": 1, "tpot_us": 1, "deadline_us": 9}
    return {"groups": {"g": {"weight": weight}}, "kinds": {"k": kind}}


def make_started_core(seed=1, count=3, **bounds):
    core = SimCore(seed, **bounds).bootstrap(count)
    assert core.wait_voting(count)
    core.world.run_for(SECOND)
    return core


def put_revision(core, revision, name="core-1", wait=True):
    """Put the source text `revision` on top of the one before it."""
    results = core.put(
        revision - 1, revision, f"text {revision}", make_plan(float(revision)), name, wait
    )
    return results


def is_committed(results):
    return bool(results) and results[0][0] is None


def drop_messages(host, kind=BlobDelivery, is_dropped=lambda message: True):
    """Drop these messages at a node; return the list of those dropped."""
    handle, dropped = host.node.handlers[kind], []

    def handle_some(message):
        if is_dropped(message):
            dropped.append(message)
        else:
            handle(message)

    host.node.handlers[kind] = handle_some
    return dropped


def blobs_on_disk(host):
    return {key[len("body/") :] for key in host.disk.synced if key.startswith("body/")}


class VoteObserver:
    """Records votes for a configuration, and those whose blobs weren't on the voter's disk."""

    def __init__(self, core):
        self.votes = []
        self.without_blobs = []
        for host in core.machines.values():
            if host.node is not None:
                self.observe(host)

    def observe(self, host):
        send = host.node.ports.network.send

        class Network:
            open = host.node.ports.network.open
            reconnect = host.node.ports.network.reconnect

            @staticmethod
            def send(address, message):
                if kind_of(message) == "accepted" and message.is_yes:
                    self.note(host)
                send(address, message)

        host.node.ports.network = Network

    def note(self, host):
        record = host.disk.synced.get("cell/plan")
        if record is None or record[2] is None:
            return
        self.votes.append(host.name)
        if not set(digests_of(record[2])) <= blobs_on_disk(host):
            self.without_blobs.append((host.name, record[2]))


def add_router(core, name="router-1", zone="z", address="10.5.0.1:7000"):
    seeds = [host.address for host in core.machines.values()]

    def build(host, ports):
        return RouterNode(
            host.name,
            host.address,
            ports,
            host.zone,
            seeds,
            host.wall_us() + host.starts,
            bounds=Bounds(**core.bounds),
        )

    router = Host(core.world, name, zone, address, build)
    router.start()
    return router


def start_router(core, **place):
    router = add_router(core, **place)
    core.world.run_for(2 * SECOND)
    return router


def weight_in_force(router):
    configuration = router.node.snapshot.configuration
    return configuration and configuration.groups["g"].weight


def source_host(router):
    """Return the host of the replica that sends documents to a router."""
    watcher = router.node.watcher
    now_us = router.node.now_us()
    replicas = router.node.membership.replicas()
    (source,) = [replica_id for replica_id in replicas if watcher._is_source(replica_id, now_us)]
    return next(host for host in router.world.hosts.values() if host.address == replicas[source][0])


# Votes


@pytest.mark.parametrize("seed", range(5))
def test_a_member_that_lost_a_blob_requests_it_and_votes_only_with_it_on_disk(seed):
    core = make_started_core(seed)
    observer = VoteObserver(core)
    received_by = []
    for name in ("core-2", "core-3"):
        dropped = drop_messages(
            core.machines[name], is_dropped=lambda m, name=name: not received_by.count(name)
        )
        handle = core.machines[name].node.handlers[BlobDelivery]

        def handle_and_count(message, name=name, handle=handle):
            handle(message)
            received_by.append(name)

        core.machines[name].node.handlers[BlobDelivery] = handle_and_count
        assert dropped == []
    assert is_committed(put_revision(core, 1))
    core.world.run_for(SECOND)
    assert {"core-2", "core-3"} <= set(received_by)
    assert set(observer.votes) == set(core.machines) and not observer.without_blobs
    assert len({frozenset(blobs_on_disk(host)) for host in core.machines.values()}) == 1


def test_no_member_votes_without_the_blob_and_the_outcome_of_the_update_is_unknown():
    core = make_started_core()
    observer = VoteObserver(core)
    for name in ("core-2", "core-3"):
        drop_messages(core.machines[name])
    results = put_revision(core, 1)
    assert results[0][0].code == "put_unknown"
    assert set(observer.votes) == {"core-1"} and not observer.without_blobs


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("loses", (0, 1, 2))
def test_a_member_killed_between_blob_and_vote_has_both_or_neither(seed, loses):
    core = make_started_core(seed)
    observer = VoteObserver(core)
    host = core.machines["core-2"]
    results = put_revision(core, 1, wait=False)
    core.world.wait_for(
        lambda: host.disk.waiting or "cell/plan" in host.disk.synced, SECOND, 100 + 37 * seed
    )
    core.world.run_for(seed * 150)
    host.disk.loses = loses
    host.kill()
    record = host.disk.synced.get("cell/plan")
    if record and record[2]:
        assert set(digests_of(record[2])) <= blobs_on_disk(host)
    core.world.run_for(SECOND)
    host.start()
    observer.observe(host)
    assert core.wait_voting(3)
    assert core.world.wait_for(lambda: results, 5 * SECOND)
    assert is_committed(results)
    assert is_committed(put_revision(core, 2, "core-3"))
    core.world.run_for(SECOND)
    assert not observer.without_blobs
    assert core.read("core-2")[1]["document"] == "text 2"


@pytest.mark.parametrize("seed", range(3))
def test_a_new_replica_gets_missing_blobs_before_it_votes(seed):
    core = make_started_core(seed)
    for revision in range(1, 4):
        assert is_committed(put_revision(core, revision))
    core.machines["core-3"].kill()
    joining = core.add("core-9")
    joining.start()
    observer = VoteObserver(core)
    assert core.wait_voting(3)
    named_digests = set(digests_of(joining.node.replica.register_state("plan").value))
    assert named_digests and named_digests <= blobs_on_disk(joining)
    core.machines["core-1"].kill()
    error, value = core.read("core-9")
    assert (error, value["document"], value["plan"]) == (None, "text 3", make_plan(3.0))
    assert not observer.without_blobs


def test_a_new_replica_without_the_blobs_does_not_vote():
    core = make_started_core()
    assert is_committed(put_revision(core, 1))
    core.machines["core-3"].kill()
    joining = core.add("core-9")
    joining.start()
    drop_messages(joining)
    core.world.run_for(8 * SECOND)
    assert "core-9" not in core.voting().values()


def test_a_replica_with_a_full_disk_does_not_vote_and_one_with_space_stores_blob_and_vote():
    core = make_started_core()
    observer = VoteObserver(core)
    full = core.machines["core-2"]
    full.disk.is_full = True
    assert is_committed(put_revision(core, 1))
    assert "core-2" not in observer.votes and not blobs_on_disk(full)
    full.disk.mend()
    assert is_committed(put_revision(core, 2, "core-3"))
    core.world.run_for(SECOND)
    assert "core-2" in observer.votes and not observer.without_blobs


def test_full_disks_at_a_majority_leave_the_outcome_of_an_update_unknown():
    core = make_started_core()
    router = start_router(core)
    assert is_committed(put_revision(core, 1))
    for name in ("core-2", "core-3"):
        core.machines[name].disk.is_full = True
    assert put_revision(core, 2)[0][0].code in ("put_unknown", "core_unready")
    core.world.run_for(SECOND)
    assert weight_in_force(router) == 1.0


def test_a_retired_replica_forgets_which_blobs_were_on_disk():
    core = make_started_core()
    assert is_committed(put_revision(core, 1))
    host = core.machines["core-3"]
    assert host.node.blobs.synced
    host.node.replica.on_superseded(host.node.replica.incarnation + 1)
    assert not host.node.blobs.synced
    core.world.run_for(10 * MS)
    assert not blobs_on_disk(host)
    observer = VoteObserver(core)
    assert core.wait_voting(3)
    assert is_committed(put_revision(core, 2))
    assert not observer.without_blobs


def test_a_promise_omits_a_value_that_the_proposer_already_has():
    core = make_started_core()
    assert is_committed(put_revision(core, 1))
    messages, handle = [], core.machines["core-2"].node.handlers[Promise]

    def keep(message):
        messages.append(message)
        handle(message)

    core.machines["core-2"].node.handlers[Promise] = keep
    assert is_committed(put_revision(core, 2, "core-2"))
    assert core.read("core-2")[1]["document"] == "text 2"
    of_plan = [message for message in messages if message.accepted]
    assert len(of_plan) >= 4 and all(message.value is None for message in of_plan)
    core.machines["core-2"].node.replica.registers.states["plan"].accepted = None
    assert core.read("core-2")[1]["document"] == "text 2"


# Wrong and missing blobs


def events(core, number):
    return [event for event in core.world.events if event[2] == number]


@pytest.mark.parametrize("packed", ("", "junk", pack_blob("another"), pack_blob("x")[:-4]))
def test_a_blob_that_is_not_the_one_of_its_digest_is_refused(packed):
    core = make_started_core()
    host = core.machines["core-2"]
    digest = digest_of("x")
    host.node.dispatch(
        BlobDelivery(sender="core-1", reply_to="10.0.0.1:7000", blobs={digest: packed})
    )
    assert digest not in host.node.blobs.packed
    assert len(events(core, 1304)) == 1
    with pytest.raises(BlobMismatchError):
        open_blob(digest, packed)


def test_a_blob_corrupted_on_disk_is_fetched_from_another_replica_before_it_is_sent():
    core = make_started_core()
    assert is_committed(put_revision(core, 1))
    host = core.machines["core-2"]
    host.kill()
    for digest in blobs_on_disk(host):
        host.disk.synced[f"body/{digest}"] = pack_blob("spoiled")
    host.start()
    assert len(events(core, 1304)) == 2
    dropped = drop_messages(host)
    core.world.run_for(4 * SECOND)
    assert dropped and not host.node.watch_server.is_current()
    host.kill()
    host.start()
    assert core.wait_voting(3)
    assert core.world.wait_for(host.node.watch_server.is_current)
    assert core.read("core-2")[1]["document"] == "text 1"


def test_a_record_whose_blob_no_node_has_is_never_shown_or_sent():
    core = make_started_core()
    assert is_committed(put_revision(core, 1))
    for host in core.machines.values():
        host.node.blobs.packed.clear()
        host.node.snapshot.__init__()
    router = start_router(core)
    assert core.read()[0].code == "core_unready"
    assert router.node.snapshot.configuration is None
    assert not any(host.node.watch_server.is_current() for host in core.machines.values())
    assert is_committed(put_revision(core, 2))
    core.world.run_for(SECOND)
    assert core.read()[1]["document"] == "text 2" and weight_in_force(router) == 2.0


def test_stored_data_is_bounded_regardless_of_the_number_of_changes():
    core = make_started_core()
    for revision in range(1, 4 * MAX_CACHED_BLOBS):
        assert is_committed(put_revision(core, revision))
    for host in core.machines.values():
        assert len(host.node.blobs.packed) <= MAX_CACHED_BLOBS
        assert len(blobs_on_disk(host)) <= 4
        assert len(json.dumps(host.disk.synced)) < 8_000
    host = core.machines["core-3"]
    host.kill()
    host.start()
    assert core.wait_voting(3)
    assert core.read("core-3")[1]["revision"] == 4 * MAX_CACHED_BLOBS - 1


def test_a_record_of_a_version_without_blobs_is_still_read_and_updated():
    core = make_started_core()
    value = {
        "mark": 4,
        "put_id": "revision-7",
        "plan": make_plan(7.0),
        "document": "text 7",
        "revision": 7,
        "overlay": {"groups": {}, "kinds": {}},
    }
    for host in core.machines.values():
        register = RegisterState([5, "core-1"], [5, "core-1"], value)
        host.node.replica.registers.states["plan"] = register
    router = start_router(core)
    assert weight_in_force(router) == 7.0
    assert core.read()[1]["document"] == "text 7"
    assert is_committed(core.put(6, 7, "text 7", make_plan(7.0)))
    assert is_committed(put_revision(core, 8))
    core.world.run_for(SECOND)
    assert weight_in_force(router) == 8.0


# Routers


def record_documents(router):
    """Record responses with a document, whole or as changes: (name of the node, version)."""
    received, handle = [], router.node.map_handlers["news"]

    def count(message):
        if "body" in message or "changes" in message:
            received.append((message["name"], message["mark"]))
        handle(message)

    router.node.map_handlers["news"] = count
    return received


@pytest.mark.parametrize("count", (3, 5))
def test_a_router_gets_each_blob_once_and_from_the_nearest_replica(count):
    core = SimCore(3, count)
    core.bootstrap(count)
    near = core.machines["core-2"]
    near.kill()
    near.zone = "y"
    near.disk = SimDisk(core.world)
    near.disk.host = near
    near.start()
    assert core.wait_voting(count)
    router = start_router(core, zone="y")
    received = record_documents(router)
    for revision in range(1, 21):
        assert is_committed(put_revision(core, revision))
        core.world.run_for(100 * MS)
        assert weight_in_force(router) == float(revision)
    assert received == [("core-2", revision) for revision in range(1, 21)]


def test_routers_without_a_replica_in_their_zone_spread_over_the_replicas():
    core = make_started_core()
    routers = [
        add_router(core, f"router-{place}", "far", f"10.5.0.{place}:7000") for place in range(1, 10)
    ]
    core.world.run_for(2 * SECOND)
    assert {source_host(router).name for router in routers} == set(core.machines)


@pytest.mark.parametrize("how", ("killed", "frozen", "cut off", "behind"))
def test_a_router_whose_nearest_replica_is_silent_or_behind_gets_the_blob_at_once_elsewhere(how):
    core = make_started_core()
    router = start_router(core)
    assert is_committed(put_revision(core, 1))
    core.world.run_for(SECOND)
    source = source_host(router)
    others = [name for name in core.machines if name != source.name]
    if how == "killed":
        source.kill()
    if how == "frozen":
        source.freeze()
    if how == "cut off":
        core.world.cut([source.name], [*others, router.name])
    if how == "behind":
        core.world.cut([source.name], others)
    results = put_revision(core, 2, others[0], wait=False)
    assert core.world.wait_for(lambda: results, SECOND, 1 * MS) and is_committed(results)
    assert core.world.wait_for(lambda: weight_in_force(router) == 2.0, 200 * MS, 1 * MS)


def test_a_digest_received_before_its_blob_counts_as_confirmation_once_the_blob_arrives():
    core = make_started_core()
    router = start_router(core)
    assert is_committed(put_revision(core, 1))
    core.world.run_for(SECOND)
    source = source_host(router)
    core.world.slow[(source.name, router.name)] = 20 * MS
    results = put_revision(core, 2, wait=False)
    watcher = router.node.watcher
    assert core.world.wait_for(lambda: watcher.missing is not None, SECOND, 1 * MS)
    assert router.node.snapshot.is_behind and not watcher.is_fresh()
    assert core.world.wait_for(lambda: weight_in_force(router) == 2.0, 200 * MS, 1 * MS)
    assert is_committed(results) and watcher.is_fresh() and watcher.missing is None


@pytest.mark.parametrize("corrupted_part", ("body", "changes", "both"))
def test_a_router_rejects_a_corrupted_blob_and_gets_it_from_another_replica(corrupted_part):
    core = make_started_core()
    router = start_router(core)
    assert is_committed(put_revision(core, 1))
    core.world.run_for(SECOND)
    source, handle, corrupted = source_host(router), router.node.map_handlers["news"], []
    router.node.watcher.received.accepts_changes = corrupted_part != "body"
    core.world.run_for(SECOND)

    def corrupt(message):
        for part in ("body", "changes"):
            is_corrupted = corrupted_part in (part, "both") and message["name"] == source.name
            if part in message and is_corrupted:
                corrupted.append(message["mark"])
                message[part] = pack_blob("another text")
        handle(message)

    router.node.map_handlers["news"] = corrupt
    assert is_committed(put_revision(core, 2))
    assert core.world.wait_for(lambda: weight_in_force(router) == 2.0, 400 * MS, 1 * MS)
    assert corrupted and len(events(core, 1304)) == len(corrupted)


def test_a_replica_that_names_another_digest_for_the_version_in_force_is_detected():
    core = make_started_core()
    router = start_router(core)
    assert is_committed(put_revision(core, 1))
    core.world.run_for(SECOND)
    watcher, snapshot = router.node.watcher, router.node.snapshot

    def response_naming(digest):
        message = {"id": "1", "seat": "a", "incarnation": 1, "is_current": True, "known": {}}
        message |= {"mark": snapshot.version, "digest": digest}
        return read_watch_response(message)

    assert watcher._has_other_digest(response_naming("0" * 24))
    assert events(core, 1305)[0][3]["named"] == "0" * 24
    held = watcher.packed_configuration()[0]["bodies"]["plan"]
    assert not watcher._has_other_digest(response_naming(held))


def test_responses_between_changes_carry_no_blob_and_no_document():
    core = make_started_core()
    router = start_router(core)
    assert is_committed(put_revision(core, 1))
    messages, handle = [], router.node.map_handlers["news"]

    def keep(message):
        messages.append(message)
        handle(message)

    router.node.map_handlers["news"] = keep
    core.world.run_for(2 * SECOND)
    assert messages[3:] and not any({"body", "plan", "digest"} & set(one) for one in messages[3:])
    assert "text 1" not in json.dumps(messages)


# Each mechanism is necessary: without it, the fault is found


def guard_nothing(store, say, values_of):
    """Replace BlobGuard._guard, so that no message waits for its blobs."""


def write_nothing(store, digests):
    """Replace BlobStore.write_ahead, so that blobs stay in memory."""


@pytest.mark.parametrize(
    "owner, name, sabotage",
    [(BlobGuard, "_guard", guard_nothing), (BlobStore, "write_ahead", write_nothing)],
)
def test_without_its_mechanism_a_vote_for_a_blob_that_isnt_synced_is_found(
    monkeypatch, owner, name, sabotage
):
    with monkeypatch.context() as patch:
        patch.setattr(owner, name, sabotage)
        core = make_started_core()
        observer = VoteObserver(core)
        put_revision(core, 1)
        assert observer.without_blobs


# Compatibility with earlier versions


def test_a_router_of_an_earlier_version_is_sent_the_document_whole():
    core = make_started_core()
    assert is_committed(put_revision(core, 1))
    messages = []

    class RecordingNetwork:
        """Records the responses of the replica."""

        @staticmethod
        def send(address, message):
            messages.append(message)

    replica = core.machines["core-1"].node
    replica.ports.network = RecordingNetwork
    ask = {"say": "ask", "name": "old", "back": "10.5.0.9:7000", "id": "1", "mark": 0}
    facts = {"known": {}, "credit": {}, "usage": {}, "extra": [0, 0], "evidence": [], "fences": {}}
    replica.watch_listeners.clear()
    replica.watch_contributors.clear()
    replica.watch_server.on_watch_request({**ask, **facts})
    assert messages[0]["plan"]["plan"] == make_plan(1.0) and "body" not in messages[0]


def test_a_router_takes_a_document_that_a_replica_of_an_earlier_version_sends_whole():
    core = make_started_core()
    router = start_router(core)
    watcher = router.node.watcher
    value = {
        "mark": 3,
        "put_id": "p",
        "plan": make_plan(3.0),
        "document": None,
        "revision": 0,
        "overlay": {"groups": {}, "kinds": {}},
    }
    message = {"id": "1", "seat": "a", "mark": 3, "incarnation": 1, "plan": value}
    response = read_watch_response({**message, "is_current": True, "known": {}})
    watcher._on_current_response(response, watcher.polls["a"].sent_us)
    assert weight_in_force(router) == 3.0 and watcher.missing is None
    held, body = watcher.packed_configuration()
    assert json.loads(open_blob(held["bodies"]["plan"], body)) == make_plan(3.0)
