"""Full member lists are sent only to nodes that need them, so that they don't saturate a link.

At 195 routers with 5 Mbit/s each (ostrander-halls-large at full size, quiet-1 at 317613e) members
went up and down 300 times a second in the views of 35 routers without any fault. Each suspicion
made hundreds of nodes send a hello, each of which was answered with the full list, so heartbeats
were late. At the start of traffic 70 of the 195 routers were ready.
"""

from msgspec.structs import replace
from test_failure_detector import MembershipNetwork, sent_by

from linkhaven.membership.messages import Hello, MemberList, Suspicion

LONG_INTERVAL_US = 1_000_000
MANY = [f"router-{place}" for place in range(1, 31)]


class CountingNetwork(MembershipNetwork):
    """Counts the records in the member lists that each member sent."""

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
    """After one watcher's suspicion all others probe the watchers that have sent them nothing."""
    net = CountingNetwork(MANY)
    subject_name = MANY[0]
    watchers = net.memberships[subject_name].table.watchers_of(subject_name)
    suspicion = sent_by(watchers[0], Suspicion(subject_name, 1, True))
    for name in MANY:
        if name not in (subject_name, watchers[0]):
            net.memberships[name].detector.on_suspicion(suspicion)
    for watcher in watchers[1:]:
        assert 0 < net.records_sent[watcher] < 2 * len(MANY)


def test_a_member_that_all_list_as_failed_sends_few_full_lists():
    net = CountingNetwork(MANY)
    subject_name, others = MANY[0], MANY[1:]
    for name in others:
        net.memberships[name].peers[subject_name].fail(net.now_us)
    for name in others:
        net.memberships[name].joining.probe_down_members(net.now_us)
    assert len(others) <= net.records_sent[subject_name] < 3 * len(MANY)


def test_repeated_hellos_of_a_starting_node_get_no_second_list():
    """A starting node sends its seeds a hello every 100 ms until it is answered."""
    net = CountingNetwork(MANY)
    seed = net.memberships[MANY[0]]
    record = net.memberships[MANY[1]].me.to_record()
    started = Hello(_started(record))
    for _ in range(20):
        seed.joining.on_hello(sent_by("router-31", started))
    assert len(MANY) < net.records_sent[MANY[0]] < 4 * len(MANY)


def test_hellos_at_long_intervals_get_the_full_list_each():
    net = CountingNetwork(MANY)
    seed = net.memberships[MANY[0]]
    hello = sent_by(MANY[1], Hello(net.memberships[MANY[1]].me.to_record()))
    for _ in range(3):
        net.now_us += LONG_INTERVAL_US
        seed.joining.on_hello(hello)
    assert net.records_sent[MANY[0]] == 3 * len(MANY)


def _started(record):
    """Return the record of a member that nobody knows yet."""
    return replace(record, name="router-31", address="router-31")
