"""Whole member lists are sent to those that need them, so that they fill no router's link.

On ostrander-halls-large at whole size (195 routers with 5 Mbit/s each, quiet-1 at 317613e) members
went up and down 300 times a second in the views of 35 routers without any fault: each suspicion
made hundreds of nodes ask, and each of these was answered with the whole list, so that heartbeats
came late. At the start of traffic 70 of 195 routers were ready.
"""

from msgspec.structs import replace
from test_failure_detector import Net, of

from linkhaven.membership.messages import Hello, MemberList, Suspicion

FAR_APART_US = 1_000_000
MANY = [f"router-{place}" for place in range(1, 31)]


class CountingNet(Net):
    """Counts the records of the member lists that each member sent."""

    def __init__(self, names):
        self.records_sent = {name: 0 for name in names}
        super().__init__(names)
        self.records_sent = {name: 0 for name in names}
        for name, membership in self.memberships.items():
            membership.node.send = self._counted(name, membership.node.send)

    def _counted(self, name, send):
        def counted(address, message):
            if isinstance(message, MemberList):
                self.records_sent[name] += len(message.members)
            send(address, message)

        return counted


def test_a_probe_is_answered_with_one_record():
    """One watcher suspects a member: all others probe the watchers that they haven't heard of."""
    net = CountingNet(MANY)
    about = MANY[0]
    watchers = net.memberships[about].table.watchers_of(about)
    suspicion = of(watchers[0], Suspicion(about, 1, True))
    for name in MANY:
        if name not in (about, watchers[0]):
            net.memberships[name].detector.on_suspicion(suspicion)
    for watcher in watchers[1:]:
        assert 0 < net.records_sent[watcher] < 2 * len(MANY)


def test_a_member_that_all_list_as_failed_sends_few_full_lists():
    net = CountingNet(MANY)
    about, others = MANY[0], MANY[1:]
    for name in others:
        net.memberships[name].peers[about].fail(net.now_us)
    for name in others:
        net.memberships[name].joining.probe_down_members(net.now_us)
    assert len(others) <= net.records_sent[about] < 3 * len(MANY)


def test_a_hello_that_is_repeated_on_the_way_gets_no_second_list():
    """A node that starts greets its seeds anew each 100 ms until it is answered."""
    net = CountingNet(MANY)
    seed = net.memberships[MANY[0]]
    record = net.memberships[MANY[1]].me.to_record()
    started = Hello(_started(record))
    for _ in range(20):
        seed.joining.on_hello(of("router-31", started))
    assert len(MANY) < net.records_sent[MANY[0]] < 4 * len(MANY)


def test_hellos_that_are_far_apart_get_the_whole_list_each():
    net = CountingNet(MANY)
    seed = net.memberships[MANY[0]]
    hello = of(MANY[1], Hello(net.memberships[MANY[1]].me.to_record()))
    for _ in range(3):
        net.now_us += FAR_APART_US
        seed.joining.on_hello(hello)
    assert net.records_sent[MANY[0]] == 3 * len(MANY)


def _started(record):
    """The record of a member that nobody knows yet."""
    return replace(record, name="router-31", address="router-31")
