"""Bodies of plans and documents: held and synced before a vote, had once by each router."""

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


def plan_of(weight):
    kind = {"group": "g", "ttft_us": 1, "tpot_us": 1, "deadline_us": 9}
    return {"groups": {"g": {"weight": weight}}, "kinds": {"k": kind}}


def make_started_core(seed=1, count=3, **bounds):
    core = SimCore(seed, **bounds).bootstrap(count)
    assert core.wait_voting(count)
    core.world.run_for(SECOND)
    return core


def put(core, revision, name="core-1", wait=True):
    """The document `revision` on the one before it."""
    told = core.put(
        revision - 1, revision, f"text {revision}", plan_of(float(revision)), name, wait
    )
    return told


def is_taken(told):
    return bool(told) and told[0][0] is None


def drop(host, kind=BlobDelivery, is_dropped=lambda message: True):
    """The node hears none of these messages; the list of what it missed."""
    hear, missed = host.node.handlers[kind], []

    def hear_some(message):
        if is_dropped(message):
            missed.append(message)
        else:
            hear(message)

    host.node.handlers[kind] = hear_some
    return missed


def bodies_on_disk(host):
    return {key[len("body/") :] for key in host.disk.synced if key.startswith("body/")}


class VoteWatch:
    """Every yes to an accept of a plan, and whether the voter's disk had what the value names."""

    def __init__(self, core):
        self.votes = []
        self.bare = []
        for host in core.machines.values():
            if host.node is not None:
                self.watch(host)

    def watch(self, host):
        send = host.node.ports.network.send

        class Network:
            open = host.node.ports.network.open
            renew = host.node.ports.network.renew

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
        if not set(digests_of(record[2])) <= bodies_on_disk(host):
            self.bare.append((host.name, record[2]))


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


def with_router(core, **place):
    router = add_router(core, **place)
    core.world.run_for(2 * SECOND)
    return router


def weight_at(router):
    configuration = router.node.snapshot.configuration
    return configuration and configuration.groups["g"].weight


def source_of(router):
    """The host of the seat whose answers bring the body."""
    watcher = router.node.watcher
    now_us = router.node.now_us()
    seats = router.node.membership.replicas()
    (source,) = [seat for seat in seats if watcher._is_source(seat, now_us)]
    return next(host for host in router.world.hosts.values() if host.address == seats[source][0])


# Votes


@pytest.mark.parametrize("seed", range(5))
def test_a_member_that_lost_the_blob_delivery_asks_and_votes_only_with_it_on_disk(seed):
    core = make_started_core(seed)
    watch = VoteWatch(core)
    lost = []
    for name in ("core-2", "core-3"):
        missed = drop(core.machines[name], is_dropped=lambda m, name=name: not lost.count(name))
        hear = core.machines[name].node.handlers[BlobDelivery]

        def hear_once_lost(message, name=name, hear=hear):
            hear(message)
            lost.append(name)

        core.machines[name].node.handlers[BlobDelivery] = hear_once_lost
        assert missed == []
    assert is_taken(put(core, 1))
    core.world.run_for(SECOND)
    assert {"core-2", "core-3"} <= set(lost)
    assert set(watch.votes) == set(core.machines) and not watch.bare
    assert len({frozenset(bodies_on_disk(host)) for host in core.machines.values()}) == 1


def test_no_member_votes_while_the_blob_cant_be_had_and_the_update_has_no_clear_answer():
    core = make_started_core()
    watch = VoteWatch(core)
    for name in ("core-2", "core-3"):
        drop(core.machines[name])
    told = put(core, 1)
    assert told[0][0].code == "put_unknown"
    assert set(watch.votes) == {"core-1"} and not watch.bare


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("loses", (0, 1, 2))
def test_a_member_killed_between_blob_and_vote_has_both_or_neither(seed, loses):
    core = make_started_core(seed)
    watch = VoteWatch(core)
    host = core.machines["core-2"]
    told = put(core, 1, wait=False)
    core.world.wait_for(
        lambda: host.disk.waiting or "cell/plan" in host.disk.synced, SECOND, 100 + 37 * seed
    )
    core.world.run_for(seed * 150)
    host.disk.loses = loses
    host.kill()
    record = host.disk.synced.get("cell/plan")
    if record and record[2]:
        assert set(digests_of(record[2])) <= bodies_on_disk(host)
    core.world.run_for(SECOND)
    host.start()
    watch.watch(host)
    assert core.wait_voting(3)
    assert core.world.wait_for(lambda: told, 5 * SECOND)
    assert is_taken(told)
    assert is_taken(put(core, 2, "core-3"))
    core.world.run_for(SECOND)
    assert not watch.bare
    assert core.read("core-2")[1]["document"] == "text 2"


@pytest.mark.parametrize("seed", range(3))
def test_a_newcomer_gets_the_blobs_that_it_lacks_before_it_votes(seed):
    core = make_started_core(seed)
    for revision in range(1, 4):
        assert is_taken(put(core, revision))
    core.machines["core-3"].kill()
    newcomer = core.add("core-9")
    newcomer.start()
    watch = VoteWatch(core)
    assert core.wait_voting(3)
    named = set(digests_of(newcomer.node.replica.register_state("plan").value))
    assert named and named <= bodies_on_disk(newcomer)
    core.machines["core-1"].kill()
    error, value = core.read("core-9")
    assert (error, value["document"], value["plan"]) == (None, "text 3", plan_of(3.0))
    assert not watch.bare


def test_a_newcomer_without_the_blobs_doesnt_vote():
    core = make_started_core()
    assert is_taken(put(core, 1))
    core.machines["core-3"].kill()
    newcomer = core.add("core-9")
    newcomer.start()
    drop(newcomer)
    core.world.run_for(8 * SECOND)
    assert "core-9" not in core.voting().values()


def test_a_full_disk_gives_no_vote_and_a_mended_one_keeps_blob_and_vote():
    core = make_started_core()
    watch = VoteWatch(core)
    full = core.machines["core-2"]
    full.disk.is_full = True
    assert is_taken(put(core, 1))
    assert "core-2" not in watch.votes and not bodies_on_disk(full)
    full.disk.mend()
    assert is_taken(put(core, 2, "core-3"))
    core.world.run_for(SECOND)
    assert "core-2" in watch.votes and not watch.bare


def test_full_disks_at_a_majority_leave_the_update_without_a_clear_answer():
    core = make_started_core()
    router = with_router(core)
    assert is_taken(put(core, 1))
    for name in ("core-2", "core-3"):
        core.machines[name].disk.is_full = True
    assert put(core, 2)[0][0].code in ("put_unknown", "core_unready")
    core.world.run_for(SECOND)
    assert weight_at(router) == 1.0


def test_a_replica_that_retires_forgets_what_its_disk_had():
    core = make_started_core()
    assert is_taken(put(core, 1))
    host = core.machines["core-3"]
    assert host.node.blobs.synced
    host.node.replica.on_superseded(host.node.replica.incarnation + 1)
    assert not host.node.blobs.synced
    core.world.run_for(10 * MS)
    assert not bodies_on_disk(host)
    watch = VoteWatch(core)
    assert core.wait_voting(3)
    assert is_taken(put(core, 2))
    assert not watch.bare


def test_a_promise_names_the_ballot_alone_where_the_proposer_holds_its_value():
    core = make_started_core()
    assert is_taken(put(core, 1))
    told, hear = [], core.machines["core-2"].node.handlers[Promise]

    def keep(message):
        told.append(message)
        hear(message)

    core.machines["core-2"].node.handlers[Promise] = keep
    assert is_taken(put(core, 2, "core-2"))
    assert core.read("core-2")[1]["document"] == "text 2"
    of_plan = [message for message in told if message.accepted]
    assert len(of_plan) >= 4 and all(message.value is None for message in of_plan)
    core.machines["core-2"].node.replica.registers.states["plan"].accepted = None
    assert core.read("core-2")[1]["document"] == "text 2"


# Bodies that are wrong or gone


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


def test_a_blob_spoiled_on_the_disk_is_had_from_another_replica_before_it_is_sent():
    core = make_started_core()
    assert is_taken(put(core, 1))
    host = core.machines["core-2"]
    host.kill()
    for digest in bodies_on_disk(host):
        host.disk.synced[f"body/{digest}"] = pack_blob("spoiled")
    host.start()
    assert len(events(core, 1304)) == 2
    missed = drop(host)
    core.world.run_for(4 * SECOND)
    assert missed and not host.node.watch_server.is_current()
    host.kill()
    host.start()
    assert core.wait_voting(3)
    assert core.world.wait_for(host.node.watch_server.is_current)
    assert core.read("core-2")[1]["document"] == "text 1"


def test_a_value_whose_blob_nobody_has_is_never_shown_or_sent():
    core = make_started_core()
    assert is_taken(put(core, 1))
    for host in core.machines.values():
        host.node.blobs.packed.clear()
        host.node.snapshot.__init__()
    router = with_router(core)
    assert core.read()[0].code == "core_unready"
    assert router.node.snapshot.configuration is None
    assert not any(host.node.watch_server.is_current() for host in core.machines.values())
    assert is_taken(put(core, 2))
    core.world.run_for(SECOND)
    assert core.read()[1]["document"] == "text 2" and weight_at(router) == 2.0


def test_what_a_disk_holds_and_a_restart_reads_is_bounded_whatever_the_number_of_changes():
    core = make_started_core()
    for revision in range(1, 4 * MAX_CACHED_BLOBS):
        assert is_taken(put(core, revision))
    for host in core.machines.values():
        assert len(host.node.blobs.packed) <= MAX_CACHED_BLOBS
        assert len(bodies_on_disk(host)) <= 4
        assert len(json.dumps(host.disk.synced)) < 8_000
    host = core.machines["core-3"]
    host.kill()
    host.start()
    assert core.wait_voting(3)
    assert core.read("core-3")[1]["revision"] == 4 * MAX_CACHED_BLOBS - 1


def test_a_value_written_before_blobs_stood_apart_is_still_read_and_built_on():
    core = make_started_core()
    value = {
        "mark": 4,
        "put_id": "revision-7",
        "plan": plan_of(7.0),
        "document": "text 7",
        "revision": 7,
        "overlay": {"groups": {}, "kinds": {}},
    }
    for host in core.machines.values():
        register = RegisterState([5, "core-1"], [5, "core-1"], value)
        host.node.replica.registers.states["plan"] = register
    router = with_router(core)
    assert weight_at(router) == 7.0
    assert core.read()[1]["document"] == "text 7"
    assert is_taken(core.put(6, 7, "text 7", plan_of(7.0)))
    assert is_taken(put(core, 8))
    core.world.run_for(SECOND)
    assert weight_at(router) == 8.0


# Routers


def bodies_heard(router):
    """Counts the answers that bring a body, whole or as changes: (seat's name, mark)."""
    heard, hear = [], router.node.map_handlers["news"]

    def count(message):
        if "body" in message or "changes" in message:
            heard.append((message["name"], message["mark"]))
        hear(message)

    router.node.map_handlers["news"] = count
    return heard


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
    router = with_router(core, zone="y")
    heard = bodies_heard(router)
    for revision in range(1, 21):
        assert is_taken(put(core, revision))
        core.world.run_for(100 * MS)
        assert weight_at(router) == float(revision)
    assert heard == [("core-2", revision) for revision in range(1, 21)]


def test_routers_without_a_replica_in_their_zone_spread_over_the_replicas():
    core = make_started_core()
    routers = [
        add_router(core, f"router-{place}", "far", f"10.5.0.{place}:7000") for place in range(1, 10)
    ]
    core.world.run_for(2 * SECOND)
    assert {source_of(router).name for router in routers} == set(core.machines)


@pytest.mark.parametrize("how", ("killed", "frozen", "cut off", "behind"))
def test_a_router_whose_nearest_replica_is_silent_or_behind_gets_the_blob_at_once_elsewhere(how):
    core = make_started_core()
    router = with_router(core)
    assert is_taken(put(core, 1))
    core.world.run_for(SECOND)
    source = source_of(router)
    others = [name for name in core.machines if name != source.name]
    if how == "killed":
        source.kill()
    if how == "frozen":
        source.freeze()
    if how == "cut off":
        core.world.cut([source.name], [*others, router.name])
    if how == "behind":
        core.world.cut([source.name], others)
    told = put(core, 2, others[0], wait=False)
    assert core.world.wait_for(lambda: told, SECOND, 1 * MS) and is_taken(told)
    assert core.world.wait_for(lambda: weight_at(router) == 2.0, 200 * MS, 1 * MS)


def test_a_router_that_hears_the_digest_first_is_confirmed_by_it_when_the_blob_comes():
    core = make_started_core()
    router = with_router(core)
    assert is_taken(put(core, 1))
    core.world.run_for(SECOND)
    source = source_of(router)
    core.world.slow[(source.name, router.name)] = 20 * MS
    told = put(core, 2, wait=False)
    watcher = router.node.watcher
    assert core.world.wait_for(lambda: watcher.missing is not None, SECOND, 1 * MS)
    assert router.node.snapshot.is_behind and not watcher.is_fresh()
    assert core.world.wait_for(lambda: weight_at(router) == 2.0, 200 * MS, 1 * MS)
    assert is_taken(told) and watcher.is_fresh() and watcher.missing is None


@pytest.mark.parametrize("spoiled_part", ("body", "changes", "both"))
def test_a_router_refuses_a_spoiled_blob_and_has_it_from_another_replica(spoiled_part):
    core = make_started_core()
    router = with_router(core)
    assert is_taken(put(core, 1))
    core.world.run_for(SECOND)
    source, hear, spoiled = source_of(router), router.node.map_handlers["news"], []
    router.node.watcher.received.accepts_changes = spoiled_part != "body"
    core.world.run_for(SECOND)

    def spoil(message):
        for part in ("body", "changes"):
            is_spoiled = spoiled_part in (part, "both") and message["name"] == source.name
            if part in message and is_spoiled:
                spoiled.append(message["mark"])
                message[part] = pack_blob("another text")
        hear(message)

    router.node.map_handlers["news"] = spoil
    assert is_taken(put(core, 2))
    assert core.world.wait_for(lambda: weight_at(router) == 2.0, 400 * MS, 1 * MS)
    assert spoiled and len(events(core, 1304)) == len(spoiled)


def test_two_replicas_that_name_two_documents_for_one_version_are_told_apart():
    core = make_started_core()
    router = with_router(core)
    assert is_taken(put(core, 1))
    core.world.run_for(SECOND)
    watcher, snapshot = router.node.watcher, router.node.snapshot

    def naming(digest):
        message = {"id": "1", "seat": "a", "incarnation": 1, "is_current": True, "known": {}}
        message |= {"mark": snapshot.version, "digest": digest}
        return read_watch_response(message)

    assert watcher._has_other_digest(naming("0" * 24))
    assert events(core, 1305)[0][3]["named"] == "0" * 24
    held = watcher.packed_configuration()[0]["bodies"]["plan"]
    assert not watcher._has_other_digest(naming(held))


def test_responses_between_changes_carry_no_blob_and_no_document():
    core = make_started_core()
    router = with_router(core)
    assert is_taken(put(core, 1))
    told, hear = [], router.node.map_handlers["news"]

    def keep(message):
        told.append(message)
        hear(message)

    router.node.map_handlers["news"] = keep
    core.world.run_for(2 * SECOND)
    assert told[3:] and not any({"body", "plan", "digest"} & set(one) for one in told[3:])
    assert "text 1" not in json.dumps(told)


# What holds it: taken out, it is found


def let_votes_pass(store, say, values_of):
    """In place of BlobGuard._guard: nothing waits for a blob."""


def write_nothing(store, digests):
    """In place of BlobStore.write_ahead: blobs stay in memory."""


@pytest.mark.parametrize(
    "owner, name, sabotage",
    [(BlobGuard, "_guard", let_votes_pass), (BlobStore, "write_ahead", write_nothing)],
)
def test_without_its_mechanism_a_vote_for_a_blob_that_isnt_synced_is_found(
    monkeypatch, owner, name, sabotage
):
    with monkeypatch.context() as patch:
        patch.setattr(owner, name, sabotage)
        core = make_started_core()
        watch = VoteWatch(core)
        put(core, 1)
        assert watch.bare


# Versions side by side


def test_a_router_of_an_earlier_version_is_sent_the_document_whole():
    core = make_started_core()
    assert is_taken(put(core, 1))
    told = []

    class Earlier:
        """Hears what the seat answers."""

        @staticmethod
        def send(address, message):
            told.append(message)

    replica = core.machines["core-1"].node
    replica.ports.network = Earlier
    ask = {"say": "ask", "name": "old", "back": "10.5.0.9:7000", "id": "1", "mark": 0}
    facts = {"known": {}, "credit": {}, "usage": {}, "extra": [0, 0], "evidence": [], "fences": {}}
    replica.watch_listeners.clear()
    replica.watch_contributors.clear()
    replica.watch_server.on_watch_request({**ask, **facts})
    assert told[0]["plan"]["plan"] == plan_of(1.0) and "body" not in told[0]


def test_a_router_takes_a_document_that_a_replica_of_an_earlier_version_sends_whole():
    core = make_started_core()
    router = with_router(core)
    watcher = router.node.watcher
    value = {
        "mark": 3,
        "put_id": "p",
        "plan": plan_of(3.0),
        "document": None,
        "revision": 0,
        "overlay": {"groups": {}, "kinds": {}},
    }
    message = {"id": "1", "seat": "a", "mark": 3, "incarnation": 1, "plan": value}
    response = read_watch_response({**message, "is_current": True, "known": {}})
    watcher._on_current_response(response, watcher.polls["a"].sent_us)
    assert weight_at(router) == 3.0 and watcher.missing is None
    held, body = watcher.packed_configuration()
    assert json.loads(open_blob(held["bodies"]["plan"], body)) == plan_of(3.0)
