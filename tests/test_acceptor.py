"""Tests of the acceptor's votes, with a fake node and disk."""

from types import SimpleNamespace

import pytest

from linkhaven.consensus import Accept, Accepted, Chosen, Prepare, Promise, RegisterTable
from linkhaven.consensus.acceptor import Acceptor
from linkhaven.consensus.majority_monitor import MajorityMonitor

KEY = "plan"
INCARNATION = 4


class Voter:
    """An acceptor with a fake disk that syncs on `sync`."""

    def __init__(self):
        self.replica_id, self.incarnation, self.is_voting = "a", INCARNATION, True
        self.is_failing = False
        self.reason = None
        self.sent, self.writes, self.changed, self.events = [], [], [], []
        storage = SimpleNamespace(
            load=dict, write=lambda records, done: self.writes.append((records, done))
        )
        node = SimpleNamespace(
            ports=SimpleNamespace(
                storage=storage, log=lambda number, **facts: self.events.append(number)
            ),
            now_us=lambda: 0,
            register_handler=lambda message_type, handler: None,
            send=lambda address, message: self.sent.append(message),
        )
        self.registers = RegisterTable.load(node)
        self.acceptor = Acceptor(node, self, self.registers, self.changed.append)

    def refusal_reason(self, request):
        return self.reason

    def all_incarnations(self):
        return {"a": self.incarnation}

    def on_vote_synced(self, is_synced):
        self.is_failing = not is_synced

    def sync(self, is_synced=True):
        writes, self.writes = self.writes, []
        for _, done in writes:
            done(is_synced)

    def request(self, message_type, ballot, **facts):
        message = message_type(
            id="x/1",
            key=KEY,
            ballot=ballot,
            replica_id="a",
            incarnation=INCARNATION,
            known_incarnations={},
            reply_to="10.0.0.1:7000",
            **facts,
        )
        on_request = {Prepare: self.acceptor.on_prepare, Accept: self.acceptor.on_accept}
        on_request[message_type](message)


def test_a_vote_is_sent_only_once_it_is_synced():
    voter = Voter()
    voter.request(Accept, [1, "x"], value="text")
    ((records, _),) = voter.writes
    assert records == {"cell/plan": [[1, "x"], [1, "x"], "text", 0]} and not voter.sent
    voter.sync()
    (answer,) = voter.sent
    assert type(answer) is Accepted and answer.is_yes and answer.incarnation == INCARNATION
    assert voter.changed == [KEY]


@pytest.mark.parametrize("change", [{"incarnation": INCARNATION + 1}, {"is_voting": False}])
def test_a_vote_is_never_sent_under_another_incarnation_or_after_voting_ended(change):
    voter = Voter()
    voter.request(Accept, [1, "x"], value="text")
    for name, value in change.items():
        setattr(voter, name, value)
    voter.sync()
    assert not voter.sent and not voter.changed


def test_a_vote_that_the_disk_refuses_is_sent_as_a_refusal():
    voter = Voter()
    voter.request(Prepare, [1, "x"])
    voter.sync(is_synced=False)
    (answer,) = voter.sent
    assert type(answer) is Promise and not answer.is_yes and answer.reason == "disk"
    assert voter.is_failing and voter.events == [1205]


@pytest.mark.parametrize(
    "message_type, ballot, is_yes",
    [
        (Prepare, [1, "x"], False),
        (Prepare, [2, "x"], False),
        (Prepare, [2, "y"], True),
        (Accept, [1, "x"], False),
        (Accept, [2, "x"], True),
        (Accept, [3, "a"], True),
    ],
)
def test_lower_ballots_are_refused_after_a_promise_and_the_same_one_is_promised_once(
    message_type, ballot, is_yes
):
    voter = Voter()
    voter.request(Prepare, [2, "x"])
    voter.request(message_type, ballot, **({"value": "v"} if message_type is Accept else {}))
    voter.sync()
    answer = next(one for one in reversed(voter.sent) if one.ballot == ballot)
    if message_type is Prepare and ballot == [2, "x"]:
        answer = voter.sent[0]
    assert answer.is_yes == is_yes
    if not is_yes:
        assert (answer.reason, answer.highest) == ("ballot", [2, "x"])


def test_only_the_accepted_ballot_becomes_known_as_chosen():
    voter = Voter()
    voter.request(Accept, [1, "x"], value="text")
    voter.sync()
    voter.acceptor.on_chosen(Chosen(key=KEY, ballot=[2, "x"]))
    assert not voter.registers.is_known_chosen(KEY)
    voter.acceptor.on_chosen(Chosen(key=KEY, ballot=[1, "x"]))
    assert voter.registers.is_known_chosen(KEY)


def test_a_node_that_is_cut_off_waits_a_third_as_long_until_a_majority_answers():
    monitor = MajorityMonitor(600_000)
    assert monitor.silence_bound_us() == 600_000
    monitor.on_silence()
    assert monitor.silence_bound_us() == 200_000
    monitor.on_answer("a", 2)
    monitor.on_answer("a", 2)
    assert monitor.is_cut_off
    monitor.on_answer("b", 2)
    assert not monitor.is_cut_off and monitor.silence_bound_us() == 600_000
