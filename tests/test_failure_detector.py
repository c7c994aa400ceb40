"""Who counts as up: cached tables follow the facts, and a missed withdrawal of a suspicion ends."""

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


def of(sender, message):
    return replace(message, sender=sender, reply_to=sender)


class Net:
    """Memberships that hear each other at once, and what was sent."""

    def __init__(self, names):
        self.sent = []
        self.memberships = {}
        self.now_us = 1_000_000
        for name in names:
            self.memberships[name] = self._membership(name)
        for membership in self.memberships.values():
            membership.gossip.on_member_list(of("seed", MemberList(self._records())))
            for other in self.memberships.values():
                membership.joining.on_hello(of("nobody", Hello(other.me.to_record())))
        self.sent.clear()

    def _membership(self, name):
        def send(address, message):
            self.sent.append((name, address, type(message).__struct_config__.tag))
            membership = self.memberships.get(address)
            if membership is not None:
                membership.node.handlers[type(message)](of(name, message))

        handlers = {}

        dice = SimpleNamespace(randrange=lambda most: 0)
        ports = SimpleNamespace(
            network=SimpleNamespace(reconnect=lambda address: None),
            log=lambda *told, **facts: None,
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

    def sent_of(self, say):
        return [one for one in self.sent if one[2] == say]


def suspect_by_all(net, viewer, about):
    """The viewer heard the suspicion of all watchers, and none of the withdrawals."""
    membership = net.memberships[viewer]
    for watcher in membership.table.watchers_of(about):
        membership.detector.on_suspicion(of(watcher, Suspicion(about, 1, True)))
    assert not membership.peers[about].is_up


def viewer_and_subject(net):
    membership = net.memberships[NAMES[0]]
    about = next(name for name in NAMES[1:] if NAMES[0] not in membership.table.watchers_of(name))
    return membership, about


def test_a_missed_withdrawal_ends_with_the_next_list_that_says_otherwise():
    net = Net(NAMES)
    membership, about = viewer_and_subject(net)
    suspect_by_all(net, NAMES[0], about)
    other = next(name for name in NAMES[1:] if name != about)
    net.memberships[other].gossip.exchange_with(membership.me)
    assert membership.peers[about].is_up
    assert about in [member.name for member in membership.live_members("router")]


def test_a_suspicion_that_its_watchers_still_hold_stays():
    net = Net(NAMES)
    membership, about = viewer_and_subject(net)
    watchers = membership.table.watchers_of(about)
    for name in watchers:
        net.memberships[name].peers[about].suspicions[name] = True
    suspect_by_all(net, NAMES[0], about)
    other = next(name for name in NAMES[1:] if name != about)
    net.memberships[other].gossip.exchange_with(membership.me)
    assert net.sent_of("doubt")
    assert not membership.peers[about].is_up


def test_who_watches_no_more_suspects_nobody():
    net = Net(NAMES)
    membership, about = viewer_and_subject(net)
    bystander = next(
        name for name in NAMES if name != about and name not in membership.table.watchers_of(about)
    )
    net.memberships[bystander].peers[about].suspicions[bystander] = True
    net.memberships[bystander].detector.on_suspicion_query(of(NAMES[0], SuspicionQuery(about, 1)))
    assert membership.peers[about].suspicions[bystander] is False


def test_equal_lists_are_exchanged_by_their_digest_and_unequal_ones_whole():
    net = Net(NAMES)
    first, second = net.memberships[NAMES[0]], net.memberships[NAMES[1]]
    first.gossip.exchanges = 1
    first.gossip.exchange_with(second.me)
    assert [say for _, _, say in net.sent] == ["digest"]
    record = MemberRecord("router-9", 1, "router-9", "router", "south", "", 0, 0, True)
    second.gossip.on_member_list(of("router-9", MemberList([record])))
    net.sent.clear()
    first.gossip.exchange_with(second.me)
    assert [say for _, _, say in net.sent] == ["digest", "members", "members"]
    assert "router-9" in first.peers


def test_now_and_then_the_whole_list_is_sent():
    net = Net(NAMES)
    first, second = net.memberships[NAMES[0]], net.memberships[NAMES[1]]
    for _ in range(20):
        first.gossip.exchange_with(second.me)
    assert len(net.sent_of("digest")) == 18


@pytest.mark.parametrize("change", ["down", "leave", "new", "new start", "replica", "forgotten"])
def test_cached_tables_follow_each_change(change):
    net = Net(NAMES)
    membership, about = viewer_and_subject(net)
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
        suspect_by_all(net, NAMES[0], about)
    elif change == "leave":
        membership.joining.on_leave(of(about, Leave()))
    elif change == "new":
        record = MemberRecord("router-9", 1, "router-9", "router", "south", "", 0, 0, True)
        membership.gossip.on_member_list(of("router-9", MemberList([record])))
    elif change == "new start":
        record = MemberRecord(about, 2, "router-22", "registry", "south", "a", 7, 0, True)
        membership.gossip.on_member_list(of(about, MemberList([record])))
        assert membership.replicas() == {"a": ("router-22", 7)}
    elif change == "replica":
        membership.announce_replica("b", 3)
        assert membership.replicas() == {"b": (NAMES[0], 3)}
    else:
        suspect_by_all(net, NAMES[0], about)
        net.now_us += 100_000_000
        net.memberships.pop(about)
        membership.joining.probe_down_members(net.now_us)
        assert about not in membership.peers
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
    net = Net(NAMES)
    membership, about = viewer_and_subject(net)
    membership.learn_incarnations({"a": 7})
    record = MemberRecord(about, 1, about, "registry", "south", "a", 3, 0, True)
    membership.gossip.on_member_list(of(about, MemberList([record])))
    membership.learn_incarnations({"a": 2})
    assert membership.replicas() == {"a": (about, 7)}


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
def test_each_event_of_a_member_leads_to_the_state_of_the_table(events, state):
    member = Member("router-2", 1)
    for event in events.split():
        getattr(member, event)(*((5,) if event in ("fail", "leave") else ()))
    assert member.state is state
    assert member.is_up is (state is MemberState.ALIVE)
    assert member.has_left is (state is MemberState.LEFT)


def test_a_suspicion_that_is_withdrawn_after_its_member_left_changes_nothing():
    net = Net(NAMES)
    membership, about = viewer_and_subject(net)
    watchers = membership.table.watchers_of(about)
    suspect_by_all(net, NAMES[0], about)
    membership.joining.on_leave(of(about, Leave()))
    for watcher in watchers:
        membership.detector.on_suspicion(of(watcher, Suspicion(about, 1, False)))
    assert membership.peers[about].state is MemberState.LEFT
    assert not membership.peers[about].is_up
    assert about not in [record.name for record in membership.table.records()]
    net.now_us += 100_000_000
    net.memberships.pop(about)
    membership.joining.probe_down_members(net.now_us)
    assert about not in membership.peers, "a member that left is forgotten like one that failed"


@pytest.mark.parametrize("is_suspected_first", [False, True])
def test_a_member_that_left_stays_so_for_its_whole_incarnation(is_suspected_first):
    """It still sends heartbeats while it drains; a new start of it counts as alive."""
    net = Net(NAMES)
    membership, about = viewer_and_subject(net)
    if is_suspected_first:
        suspect_by_all(net, NAMES[0], about)
    membership.joining.on_leave(of(about, Leave()))
    heartbeat = Heartbeat(net.memberships[about].me.to_record())
    membership.detector.on_heartbeat(of(about, heartbeat))
    membership.joining.on_hello(of(about, Hello(net.memberships[about].me.to_record())))
    assert membership.peers[about].state is MemberState.LEFT
    assert about not in [member.name for member in membership.live_members()]
    record = MemberRecord(about, 2, about, "router", "north", "", 0, 0, True)
    membership.detector.on_heartbeat(of(about, Heartbeat(record)))
    assert membership.peers[about].state is MemberState.ALIVE


def test_a_member_that_left_and_starts_with_its_clock_set_back_is_known_again():
    """Its new start has the lower incarnation, until it hears of the one that left."""
    net = Net(NAMES)
    membership, about = viewer_and_subject(net)
    former = MemberRecord(about, 9, about, "router", "north", "", 0, 0, True)
    membership.joining.on_hello(of(about, Hello(former)))
    membership.joining.on_leave(of(about, Leave()))
    subject = net.memberships[about]
    subject.me.incarnation = 1
    subject.joining.seeds = [NAMES[0]]
    subject.peers.drop(NAMES[0])
    subject.table.on_live_changed()
    subject.joining.contact_missing_seeds()
    assert subject.me.incarnation > 9
    subject.joining.contact_missing_seeds()
    subject.gossip.exchange_with(membership.me)
    assert membership.peers[about].state is MemberState.ALIVE


def test_a_members_watchers_are_the_same_few_whoever_asks_and_move_with_its_neighbours_only():
    names = [f"router-{place}" for place in range(200)]
    whole, fewer = HashRing(names), HashRing(names[1:])
    for name in names:
        watchers = whole.watchers_of(name)
        assert len(watchers) == WATCHERS_PER_MEMBER and name not in watchers
        if names[0] not in watchers:
            assert fewer.watchers_of(name) == watchers
    assert HashRing(["a", "b"]).watchers_of("a") == ["b"]
