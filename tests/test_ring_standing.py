"""Views of who is up: kept tables follow the facts, and a missed withdrawal ends."""

from types import SimpleNamespace

import pytest
from msgspec.structs import replace

from linkhaven.membership import Membership
from linkhaven.membership.messages import (
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
    """Rings that hear each other at once, and what was said."""

    def __init__(self, names):
        self.said = []
        self.rings = {}
        self.now_us = 1_000_000
        for name in names:
            self.rings[name] = self._ring(name)
        for ring in self.rings.values():
            ring.on_members(of("seed", MemberList(self._records())))
            for other in self.rings.values():
                ring.on_hello(of("nobody", Hello(other.me.as_member())))
        self.said.clear()

    def _ring(self, name):
        def send(address, message):
            self.said.append((name, address, type(message).__struct_config__.tag))
            ring = self.rings.get(address)
            if ring is not None:
                ring.node.handlers[type(message)](of(name, message))

        handlers = {}

        dice = SimpleNamespace(randrange=lambda most: 0)
        ports = SimpleNamespace(
            network=SimpleNamespace(renew=lambda address: None),
            log=lambda *told, **facts: None,
            random=dice,
        )
        node = SimpleNamespace(
            name=name,
            address=name,
            ports=ports,
            handlers=handlers,
            register_handler=handlers.__setitem__,
            systems=[],
            on_late=[],
            sender_listeners=[],
            now_us=lambda: self.now_us,
            send=send,
            bounds=SimpleNamespace(beat_us=250_000, missed_us=1_000_000),
        )
        return Membership(node, "router", "north", [], 1)

    def _records(self):
        return [ring.me.as_member() for ring in self.rings.values()]

    def says(self, say):
        return [one for one in self.said if one[2] == say]


def hold_down(net, viewer, about):
    """The viewer heard the verdict of all watchers, and none of the withdrawals."""
    ring = net.rings[viewer]
    for watcher in ring.watchers_of(about):
        ring.on_verdict(of(watcher, Suspicion(about, 1, True)))
    assert not ring.peers[about].is_up


def viewer_and_subject(net):
    ring = net.rings[NAMES[0]]
    about = next(name for name in NAMES[1:] if NAMES[0] not in ring.watchers_of(name))
    return ring, about


def test_a_missed_withdrawal_ends_with_the_next_list_that_says_otherwise():
    net = Net(NAMES)
    ring, about = viewer_and_subject(net)
    hold_down(net, NAMES[0], about)
    other = next(name for name in NAMES[1:] if name != about)
    net.rings[other]._tell_list(ring.me)
    assert ring.peers[about].is_up
    assert about in [fellow.name for fellow in ring.live_members("router")]


def test_a_verdict_that_its_watchers_still_hold_stays():
    net = Net(NAMES)
    ring, about = viewer_and_subject(net)
    watchers = ring.watchers_of(about)
    for name in watchers:
        net.rings[name].peers[about].verdicts[name] = True
    hold_down(net, NAMES[0], about)
    other = next(name for name in NAMES[1:] if name != about)
    net.rings[other]._tell_list(ring.me)
    assert net.says("doubt")
    assert not ring.peers[about].is_up


def test_who_watches_no_more_has_no_verdict():
    net = Net(NAMES)
    ring, about = viewer_and_subject(net)
    bystander = next(
        name for name in NAMES if name != about and name not in ring.watchers_of(about)
    )
    net.rings[bystander].peers[about].verdicts[bystander] = True
    net.rings[bystander].on_doubt(of(NAMES[0], SuspicionQuery(about, 1)))
    assert ring.peers[about].verdicts[bystander] is False


def test_equal_lists_are_told_by_their_digest_and_unequal_ones_whole():
    net = Net(NAMES)
    first, second = net.rings[NAMES[0]], net.rings[NAMES[1]]
    first.gossips = 1
    first._tell_list(second.me)
    assert [say for _, _, say in net.said] == ["digest"]
    record = MemberRecord("router-9", 1, "router-9", "router", "south", "", 0, 0, True)
    second.on_members(of("router-9", MemberList([record])))
    net.said.clear()
    first._tell_list(second.me)
    assert [say for _, _, say in net.said] == ["digest", "members", "members"]
    assert "router-9" in first.peers


def test_now_and_then_the_whole_list_is_told():
    net = Net(NAMES)
    first, second = net.rings[NAMES[0]], net.rings[NAMES[1]]
    for _ in range(20):
        first._tell_list(second.me)
    assert len(net.says("digest")) == 18


@pytest.mark.parametrize("change", ["down", "bye", "new", "new start", "seat", "forgotten"])
def test_kept_tables_follow_each_change(change):
    net = Net(NAMES)
    ring, about = viewer_and_subject(net)
    (
        ring.live_members(),
        ring.live_members("router"),
        ring.replicas(),
        ring._find_watched(),
        ring._members_digest(),
    )
    before = ring._members_digest()
    for name in NAMES:
        ring.watchers_of(name)
    if change == "down":
        hold_down(net, NAMES[0], about)
    elif change == "bye":
        ring.on_bye(of(about, Leave()))
    elif change == "new":
        record = MemberRecord("router-9", 1, "router-9", "router", "south", "", 0, 0, True)
        ring.on_members(of("router-9", MemberList([record])))
    elif change == "new start":
        record = MemberRecord(about, 2, "router-22", "registry", "south", "a", 7, 0, True)
        ring.on_members(of(about, MemberList([record])))
        assert ring.replicas() == {"a": ("router-22", 7)}
    elif change == "seat":
        ring.announce_replica("b", 3)
        assert ring.replicas() == {"b": (NAMES[0], 3)}
    else:
        hold_down(net, NAMES[0], about)
        net.now_us += 100_000_000
        net.rings.pop(about)
        ring._call_downs(net.now_us)
        assert about not in ring.peers
    up = {name for name, fellow in ring.peers.items() if fellow.is_up and not fellow.has_left}
    assert {fellow.name for fellow in ring.live_members()} == up
    assert all(fellow.kind == "router" for fellow in ring.live_members("router"))
    kept = {name: list(ring.watchers_of(name)) for name in ring.peers}
    digest = ring._members_digest()
    ring._forget_order()
    assert kept == {name: ring.watchers_of(name) for name in ring.peers}
    assert ring._members_digest() == digest
    assert digest != before
