"""The lease on a singleton role: one holder at a time, and a higher fencing token each time."""

import random
from itertools import repeat
from types import SimpleNamespace

import msgspec
import pytest

from linkhaven.leases import Lease, LeaseRecord, LeaseState
from linkhaven.runtime import Bounds

SECOND_US = 1_000_000
TICK_US = 50_000
START_US = 100 * SECOND_US
LEASE_US = Bounds().lease_us


class Register:
    """One key's value; proposals complete at once, or later while `held` collects responses."""

    def __init__(self):
        self.value = None
        self.held = None
        self.is_reachable = True
        self.patient = []

    def propose(self, key, step, done, is_patient=False):
        assert key == "duty/steward"
        self.patient.append(is_patient)
        if not self.is_reachable:
            return done("refused", "nobody answers")
        verb, given = step(self.value)
        if verb == "stop":
            return done("stopped", given)
        if verb == "set":
            self.value = given
        value = self.value
        if self.held is None:
            return done("chosen", value)
        self.held.append(lambda: done("chosen", value))


class Member:
    """One node with a lease, whose clock is advanced by the test."""

    def __init__(self, register, name, rank=0, incarnations=None):
        self.incarnations = iter(incarnations or repeat(None))
        self.time_us = START_US
        self.events = []
        self.changes = []
        self.replica = SimpleNamespace(
            is_voting=True,
            votes_from_us=0,
            register_state=lambda key: SimpleNamespace(value=register.value),
        )
        self.node = SimpleNamespace(
            name=name,
            now_us=lambda: self.time_us,
            tick_handlers=[],
            late_tick_handlers=[],
            bounds=Bounds(),
            ports=SimpleNamespace(
                random=random.Random(name),
                log=lambda number, **facts: self.events.append((number, facts["fence"])),
            ),
        )
        self.lease = Lease(
            self.node,
            "steward",
            register,
            self.replica,
            incarnations=self,
            listener=self,
            rank=rank,
        )

    def on_lease_won(self, role):
        self.changes.append("won")

    def on_lease_lapsed(self, role):
        self.changes.append("lapsed")

    def live_incarnation(self, name):
        return next(self.incarnations)

    def run(self, span_us):
        for _ in range(span_us // TICK_US):
            self.time_us += TICK_US
            self.lease.tick(self.time_us)


def test_a_free_lease_is_won_renewed_and_kept():
    register = Register()
    one = Member(register, "one")
    one.run(10 * SECOND_US)
    assert one.lease.is_held() and one.changes == ["won"] and one.events == [(1401, 1)]
    record = one.lease.record()
    assert (record.holder, record.fencing_token) == ("one", 1) and record.renewal >= 9
    assert all(register.patient) and len(register.patient) == record.renewal + 1


def test_a_lease_is_measured_from_its_request():
    register = Register()
    one = Member(register, "one")
    register.held = []
    one.run(TICK_US)
    one.time_us += 2 * SECOND_US
    register.held.pop()()
    assert one.lease.is_held()
    one.time_us = START_US + TICK_US + LEASE_US - 1
    assert one.lease.is_held()
    one.time_us += 1
    assert not one.lease.is_held()


def test_a_response_after_a_full_lease_is_ignored():
    register = Register()
    one = Member(register, "one")
    register.held = []
    one.run(TICK_US)
    one.time_us += LEASE_US
    register.held.pop()()
    assert not one.lease.is_held() and one.changes == []


def test_another_node_waits_a_whole_lease_and_its_fencing_token_is_higher():
    register = Register()
    one, two = Member(register, "one"), Member(register, "two")
    one.run(TICK_US)
    two.run(LEASE_US)
    assert register.value["holder"] == "one" and not two.lease.is_held()
    two.run(SECOND_US)
    assert two.lease.is_held() and two.events == [(1401, 2)]
    assert register.value["holder"] == "two" and register.value["fence"] == 2


def test_a_clock_jump_does_not_count_as_waiting_for_the_holder():
    register = Register()
    one, two = Member(register, "one"), Member(register, "two")
    one.run(TICK_US)
    two.run(TICK_US)
    two.time_us += 60 * SECOND_US
    two.run(LEASE_US - SECOND_US)
    assert register.value["holder"] == "one"
    two.run(2 * SECOND_US)
    assert two.lease.is_held()


def test_a_holder_that_cannot_renew_lapses_and_a_late_tick_lapses_at_once():
    register = Register()
    one, two = Member(register, "one"), Member(register, "two")
    one.run(TICK_US)
    register.is_reachable = False
    one.run(LEASE_US)
    assert not one.lease.is_held() and one.changes == ["won", "lapsed"]
    register.is_reachable, register.value = True, None
    two.run(TICK_US)
    two.lease.on_late_tick(two.time_us)
    assert not two.lease.is_held() and two.changes == ["won", "lapsed"]


def test_a_renewal_that_is_answered_after_a_lapse_wins_the_lease_anew():
    register = Register()
    one = Member(register, "one")
    one.run(TICK_US)
    assert one.lease.state is LeaseState.HOLDER
    register.held = []
    one.run(SECOND_US)
    assert one.lease.state is LeaseState.RENEWING
    one.lease.on_late_tick(one.time_us)
    assert one.lease.state is LeaseState.CANDIDATE and not one.lease.is_held()
    register.held.pop()()
    assert one.lease.state is LeaseState.HOLDER and one.lease.is_held()
    assert one.changes == ["won", "lapsed", "won"]


def test_a_response_after_the_release_is_ignored():
    register = Register()
    one = Member(register, "one")
    register.held = []
    one.run(TICK_US)
    assert one.lease.state is LeaseState.CANDIDATE
    one.lease.release(lambda: None)
    register.held.pop()()
    one.run(SECOND_US)
    assert one.lease.state is LeaseState.RELEASED
    assert not one.lease.is_held() and one.changes == []


def test_a_holder_that_steps_down_leaves_the_next_lease_to_others():
    register = Register()
    one, two = Member(register, "one"), Member(register, "two", rank=1)
    one.run(2 * TICK_US)
    two.run(TICK_US)
    one.lease.step_down()
    assert not one.lease.is_held()
    for _ in range(5 * SECOND_US // TICK_US):
        one.run(TICK_US)
        two.run(TICK_US)
    assert two.lease.is_held() and not one.lease.is_held()


def test_a_released_lease_is_taken_at_once_and_its_succession_is_known():
    register, released = Register(), []
    one, two = Member(register, "one"), Member(register, "two")
    one.run(TICK_US)
    two.run(TICK_US)
    one.lease.release(lambda: released.append(True))
    assert released and register.value == {"holder": None, "fence": 1, "renewal": 1, "actions": 0}
    two.run(2 * TICK_US)
    assert two.lease.is_held() and two.lease.is_succession
    one.run(10 * SECOND_US)
    assert not one.lease.is_held()


def test_a_late_release_leaves_another_holders_lease_unchanged():
    register, released = Register(), []
    one = Member(register, "one")
    one.run(TICK_US)
    register.value = {"holder": "two", "fence": 2, "renewal": 0}
    one.lease.release(lambda: released.append(True))
    assert released and register.value == {"holder": "two", "fence": 2, "renewal": 0}


def test_a_new_holder_has_a_fencing_token_above_any_that_was_observed():
    register = Register()
    one = Member(register, "one")
    one.lease.observe_fencing_token(7.5)
    one.run(TICK_US)
    assert one.lease.fencing_token == 9
    one.lease.observe_fencing_token(12)
    one.run(TICK_US)
    assert one.lease.fencing_token == 13 and one.changes == ["won", "won"]


def test_a_replica_without_votes_neither_asks_nor_holds():
    register = Register()
    one = Member(register, "one")
    one.run(TICK_US)
    one.replica.is_voting = False
    one.run(TICK_US)
    assert not one.lease.is_held() and not one.lease.is_holder_suspected()
    one.run(10 * SECOND_US)
    one.replica.is_voting = True
    one.run(LEASE_US)
    assert not one.lease.is_held()
    one.run(SECOND_US)
    assert one.lease.is_held() and one.lease.fencing_token == 2


@pytest.mark.parametrize(
    "incarnations, is_suspected",
    [([3, 3], False), ([3, 0], True), ([3, 4], True), ([None, 3], False)],
)
def test_a_holder_is_suspected_once_it_is_down_or_started_anew(incarnations, is_suspected):
    register = Register()
    one, two = Member(register, "one"), Member(register, "two", incarnations=incarnations)
    one.run(TICK_US)
    two.run(TICK_US)
    assert two.lease.is_holder_suspected() is is_suspected


def test_a_record_of_a_newer_version_is_read_and_an_invalid_one_is_refused():
    register = Register()
    one = Member(register, "one")
    register.value = {"holder": "two", "fence": 4, "renewal": 1, "zone": "north"}
    assert one.lease.record() == LeaseRecord("two", 4, 1)
    register.value = {"holder": "two", "fence": "4", "renewal": 1}
    with pytest.raises(msgspec.ValidationError):
        one.lease.record()


def test_a_holder_acts_only_soon_after_a_quorum_recorded_that_it_will():
    register = Register()
    one = Member(register, "one")
    one.run(TICK_US)
    assert not one.lease.may_act()
    register.held, announced = [], []
    one.lease.announce_action(lambda: announced.append(one.lease.may_act()))
    one.run(TICK_US)
    assert not one.lease.may_act() and not announced
    register.held.pop()()
    assert announced == [True] and register.value["actions"] == 1
    one.time_us += one.lease.renew_us
    assert not one.lease.may_act()
    register.held = None
    one.lease.announce_action()
    one.run(TICK_US)
    assert one.lease.may_act()
    one.lease.consume_action()
    assert not one.lease.may_act() and register.value["actions"] == 2


def test_a_lapsed_holder_may_not_take_what_it_announced():
    register = Register()
    one = Member(register, "one")
    one.run(TICK_US)
    one.lease.announce_action()
    one.run(TICK_US)
    one.lease.on_late_tick(one.time_us)
    assert not one.lease.may_act()


def test_a_node_that_saw_no_announcement_knows_that_no_holder_acted():
    register = Register()
    one, two = Member(register, "one"), Member(register, "two")
    one.run(TICK_US)
    two.run(TICK_US)
    assert not two.lease.are_others_idle()
    for _ in range(10):
        one.run(SECOND_US)
        two.run(SECOND_US)
    assert two.lease.are_others_idle()
    one.lease.announce_action()
    one.run(TICK_US)
    two.run(TICK_US)
    assert one.lease.may_act() and not two.lease.are_others_idle()
    two.run(LEASE_US + two.lease.renew_us - 2 * TICK_US)
    assert two.lease.is_held() and not two.lease.are_others_idle()
    two.run(2 * TICK_US)
    assert two.lease.are_others_idle()


def test_own_announcements_do_not_count_as_actions_of_others():
    register = Register()
    one = Member(register, "one")
    one.run(6 * SECOND_US)
    assert one.lease.are_others_idle()
    one.lease.announce_action()
    one.run(3 * TICK_US)
    assert one.lease.may_act() and one.lease.are_others_idle()


def test_a_predecessor_that_does_not_announce_never_counts_as_idle():
    register = Register()
    register.value = {"holder": "old", "fence": 4, "renewal": 7}
    two = Member(register, "two")
    two.run(LEASE_US)
    assert not two.lease.are_others_idle()
    two.run(SECOND_US)
    assert two.lease.is_held() and register.value["actions"] == 0


@pytest.mark.parametrize("seed", range(20))
def test_no_two_holders_act_within_a_lease_where_one_waits_for_others_to_be_idle(seed):
    rng = random.Random(seed)
    register = Register()
    members = [Member(register, name, rank) for rank, name in enumerate(("one", "two", "three"))]
    acted, asleep = [], {}
    for turn in range(4_000):
        for member in members:
            member.time_us += TICK_US
            if asleep.get(member, 0) > turn or rng.random() < 0.1:
                continue
            if asleep.pop(member, None):
                member.lease.on_late_tick(member.time_us)
            if rng.random() < 0.004:
                asleep[member] = turn + rng.randrange(20, 200)
                continue
            member.lease.tick(member.time_us)
            if not member.lease.are_others_idle():
                continue
            if member.lease.may_act():
                member.lease.consume_action()
                acted.append((member.time_us, member.node.name))
            elif rng.random() < 0.05:
                member.lease.announce_action()
    assert len({name for _, name in acted}) > 1
    for (before_us, before), (after_us, after) in zip(acted, acted[1:], strict=False):
        assert before == after or after_us - before_us >= LEASE_US
