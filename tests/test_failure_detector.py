"""The failure detector, the states of members, and the caches of the member table."""

from types import SimpleNamespace

import pytest
from msgspec.structs import replace

from linkhaven.membership import Member, Membership, MemberState
from linkhaven.membership.hash_ring import WATCHERS_PER_MEMBER, HashRing
from linkhaven.membership.messages import (
    Heartbeat,
    Hello,
    Leave,
    MemberList,
    MemberRecord,
    Suspicion,
    SuspicionQuery,
)

NAMES = [f"router-{place}" for place in range(1, 8)]


def sent_by(sender, message):
    return replace(message, sender=sender, reply_to=sender)


class MembershipNetwork:
    """Memberships that receive each other's messages at once, and a record of what was sent."""

    def __init__(self, names):
        self.sent = []
        self.memberships = {}
        self.now_us = 1_000_000
        for name in names:
            self.memberships[name] = self._membership(name)
        for membership in self.memberships.values():
            membership.gossip.on_member_list(sent_by("seed", MemberList(self._records())))
            for other in self.memberships.values():
                membership.joining.on_hello(sent_by("nobody", Hello(other.me.to_record())))
        self.sent.clear()

    def _membership(self, name):
        def send(address, message):
            self.sent.append((name, address, type(message).__struct_config__.tag))
            membership = self.memberships.get(address)
            if membership is not None:
                membership.node.handlers[type(message)](sent_by(name, message))

        handlers = {}

        dice = SimpleNamespace(randrange=lambda most: 0)
        ports = SimpleNamespace(
            network=SimpleNamespace(reconnect=lambda address: None),
            log=lambda *args, **facts: None,
            random=dice,
        )
        node = SimpleNamespace(
            name=name,
            address=name,
            ports=ports,
            handlers=handlers,
            register_handler=handlers.__setitem__,
            tick_handlers=[],
            late_tick_handlers=[],
            sender_listeners=[],
            now_us=lambda: self.now_us,
            send=send,
            bounds=SimpleNamespace(heartbeat_interval_us=250_000, heartbeat_timeout_us=1_000_000),
        )
        return Membership(node, "router", "north", [], 1)

    def _records(self):
        return [membership.me.to_record() for membership in self.memberships.values()]

    def sent_of(self, kind):
        return [one for one in self.sent if one[2] == kind]


def suspect_by_all(net, viewer, subject_name):
    """Have the viewer receive the suspicions of all watchers, but no withdrawal."""
    membership = net.memberships[viewer]
    for watcher in membership.table.watchers_of(subject_name):
        membership.detector.on_suspicion(sent_by(watcher, Suspicion(subject_name, 1, True)))
    assert not membership.peers[subject_name].is_up


def viewer_and_subject(net):
    membership = net.memberships[NAMES[0]]
    subject_name = next(
        name for name in NAMES[1:] if NAMES[0] not in membership.table.watchers_of(name)
    )
    return membership, subject_name


def test_a_missed_withdrawal_is_repaired_by_the_next_list_with_the_member_up():
    net = MembershipNetwork(NAMES)
    membership, subject_name = viewer_and_subject(net)
    suspect_by_all(net, NAMES[0], subject_name)
    other = next(name for name in NAMES[1:] if name != subject_name)
    net.memberships[other].gossip.exchange_with(membership.me)
    assert membership.peers[subject_name].is_up
    assert subject_name in [member.name for member in membership.live_members("router")]


def test_a_suspicion_that_the_watchers_confirm_stays():
    net = MembershipNetwork(NAMES)
    membership, subject_name = viewer_and_subject(net)
    watchers = membership.table.watchers_of(subject_name)
    for name in watchers:
        net.memberships[name].peers[subject_name].suspicions[name] = True
    suspect_by_all(net, NAMES[0], subject_name)
    other = next(name for name in NAMES[1:] if name != subject_name)
    net.memberships[other].gossip.exchange_with(membership.me)
    assert net.sent_of("doubt")
    assert not membership.peers[subject_name].is_up


def test_a_former_watcher_withdraws_its_suspicion_when_queried():
    net = MembershipNetwork(NAMES)
    membership, subject_name = viewer_and_subject(net)
    bystander = next(
        name
        for name in NAMES
        if name != subject_name and name not in membership.table.watchers_of(subject_name)
    )
    net.memberships[bystander].peers[subject_name].suspicions[bystander] = True
    net.memberships[bystander].detector.on_suspicion_query(
        sent_by(NAMES[0], SuspicionQuery(subject_name, 1))
    )
    assert membership.peers[subject_name].suspicions[bystander] is False


def test_equal_lists_are_exchanged_by_digest_and_different_ones_in_full():
    net = MembershipNetwork(NAMES)
    first, second = net.memberships[NAMES[0]], net.memberships[NAMES[1]]
    first.gossip.exchanges = 1
    first.gossip.exchange_with(second.me)
    assert [kind for _, _, kind in net.sent] == ["digest"]
    record = MemberRecord("router-9", 1, "router-9", "router", "south", "", 0, 0, True)
    second.gossip.on_member_list(sent_by("router-9", MemberList([record])))
    net.sent.clear()
    first.gossip.exchange_with(second.me)
    assert [kind for _, _, kind in net.sent] == ["digest", "members", "members"]
    assert "router-9" in first.peers


def test_every_tenth_exchange_sends_the_full_list():
    net = MembershipNetwork(NAMES)
    first, second = net.memberships[NAMES[0]], net.memberships[NAMES[1]]
    for _ in range(20):
        first.gossip.exchange_with(second.me)
    assert len(net.sent_of("digest")) == 18


@pytest.mark.parametrize("change", ["down", "leave", "new", "new start", "replica", "forgotten"])
def test_cached_tables_follow_each_change(change):
    net = MembershipNetwork(NAMES)
    membership, subject_name = viewer_and_subject(net)
    (
        membership.live_members(),
        membership.live_members("router"),
        membership.replicas(),
        membership.table.watched_names(),
        membership.table.list_digest(),
    )
    before = membership.table.list_digest()
    for name in NAMES:
        membership.table.watchers_of(name)
    if change == "down":
        suspect_by_all(net, NAMES[0], subject_name)
    elif change == "leave":
        membership.joining.on_leave(sent_by(subject_name, Leave()))
    elif change == "new":
        record = MemberRecord("router-9", 1, "router-9", "router", "south", "", 0, 0, True)
        membership.gossip.on_member_list(sent_by("router-9", MemberList([record])))
    elif change == "new start":
        record = MemberRecord(subject_name, 2, "router-22", "registry", "south", "a", 7, 0, True)
        membership.gossip.on_member_list(sent_by(subject_name, MemberList([record])))
        assert membership.replicas() == {"a": ("router-22", 7)}
    elif change == "replica":
        membership.announce_replica("b", 3)
        assert membership.replicas() == {"b": (NAMES[0], 3)}
    else:
        suspect_by_all(net, NAMES[0], subject_name)
        net.now_us += 100_000_000
        net.memberships.pop(subject_name)
        membership.joining.probe_down_members(net.now_us)
        assert subject_name not in membership.peers
    up = {name for name, member in membership.peers.items() if member.is_up and not member.has_left}
    assert {member.name for member in membership.live_members()} == up
    assert all(member.kind == "router" for member in membership.live_members("router"))
    kept = {name: list(membership.table.watchers_of(name)) for name in membership.peers}
    digest = membership.table.list_digest()
    membership.table.on_live_changed()
    assert kept == {name: membership.table.watchers_of(name) for name in membership.peers}
    assert membership.table.list_digest() == digest
    assert digest != before


def test_a_learned_incarnation_of_a_replica_is_never_lowered():
    net = MembershipNetwork(NAMES)
    membership, subject_name = viewer_and_subject(net)
    membership.learn_incarnations({"a": 7})
    record = MemberRecord(subject_name, 1, subject_name, "registry", "south", "a", 3, 0, True)
    membership.gossip.on_member_list(sent_by(subject_name, MemberList([record])))
    membership.learn_incarnations({"a": 2})
    assert membership.replicas() == {"a": (subject_name, 7)}


@pytest.mark.parametrize(
    "events, state",
    [
        ("", MemberState.ALIVE),
        ("fail", MemberState.FAILED),
        ("fail recover", MemberState.ALIVE),
        ("leave", MemberState.LEFT),
        ("fail leave", MemberState.LEFT),
        ("leave fail", MemberState.LEFT),
        ("leave recover", MemberState.LEFT),
        ("leave leave", MemberState.LEFT),
        ("leave recover fail", MemberState.LEFT),
    ],
)
def test_each_event_of_a_member_leads_to_the_documented_state(events, state):
    member = Member("router-2", 1)
    for event in events.split():
        getattr(member, event)(*((5,) if event in ("fail", "leave") else ()))
    assert member.state is state
    assert member.is_up is (state is MemberState.ALIVE)
    assert member.has_left is (state is MemberState.LEFT)


def test_a_suspicion_that_is_withdrawn_after_its_member_left_changes_nothing():
    net = MembershipNetwork(NAMES)
    membership, subject_name = viewer_and_subject(net)
    watchers = membership.table.watchers_of(subject_name)
    suspect_by_all(net, NAMES[0], subject_name)
    membership.joining.on_leave(sent_by(subject_name, Leave()))
    for watcher in watchers:
        membership.detector.on_suspicion(sent_by(watcher, Suspicion(subject_name, 1, False)))
    assert membership.peers[subject_name].state is MemberState.LEFT
    assert not membership.peers[subject_name].is_up
    assert subject_name not in [record.name for record in membership.table.records()]
    net.now_us += 100_000_000
    net.memberships.pop(subject_name)
    membership.joining.probe_down_members(net.now_us)
    assert subject_name not in membership.peers, (
        "a member that left is forgotten like one that failed"
    )


@pytest.mark.parametrize("is_suspected_first", [False, True])
def test_a_member_that_left_stays_so_for_its_whole_incarnation(is_suspected_first):
    """A draining member still sends heartbeats after its Leave; its next incarnation is alive."""
    net = MembershipNetwork(NAMES)
    membership, subject_name = viewer_and_subject(net)
    if is_suspected_first:
        suspect_by_all(net, NAMES[0], subject_name)
    membership.joining.on_leave(sent_by(subject_name, Leave()))
    heartbeat = Heartbeat(net.memberships[subject_name].me.to_record())
    membership.detector.on_heartbeat(sent_by(subject_name, heartbeat))
    membership.joining.on_hello(
        sent_by(subject_name, Hello(net.memberships[subject_name].me.to_record()))
    )
    assert membership.peers[subject_name].state is MemberState.LEFT
    assert subject_name not in [member.name for member in membership.live_members()]
    record = MemberRecord(subject_name, 2, subject_name, "router", "north", "", 0, 0, True)
    membership.detector.on_heartbeat(sent_by(subject_name, Heartbeat(record)))
    assert membership.peers[subject_name].state is MemberState.ALIVE


def test_a_member_that_left_and_restarts_with_its_clock_set_back_is_known_again():
    """Its new incarnation is lower, until it receives the record of the one that left."""
    net = MembershipNetwork(NAMES)
    membership, subject_name = viewer_and_subject(net)
    former = MemberRecord(subject_name, 9, subject_name, "router", "north", "", 0, 0, True)
    membership.joining.on_hello(sent_by(subject_name, Hello(former)))
    membership.joining.on_leave(sent_by(subject_name, Leave()))
    subject = net.memberships[subject_name]
    subject.me.incarnation = 1
    subject.joining.seeds = [NAMES[0]]
    subject.peers.drop(NAMES[0])
    subject.table.on_live_changed()
    subject.joining.contact_missing_seeds()
    assert subject.me.incarnation > 9
    subject.joining.contact_missing_seeds()
    subject.gossip.exchange_with(membership.me)
    assert membership.peers[subject_name].state is MemberState.ALIVE


def test_only_neighbours_on_the_ring_change_a_members_watchers():
    names = [f"router-{place}" for place in range(200)]
    full, reduced = HashRing(names), HashRing(names[1:])
    for name in names:
        watchers = full.watchers_of(name)
        assert len(watchers) == WATCHERS_PER_MEMBER and name not in watchers
        if names[0] not in watchers:
            assert reduced.watchers_of(name) == watchers
    assert HashRing(["a", "b"]).watchers_of("a") == ["b"]
