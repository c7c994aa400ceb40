"""Point 4 of docs/control.md: hundreds of changes, and members that come back after them."""

import pytest

from linkhaven.configuration import store
from linkhaven.consensus.recovery import Recovery
from linkhaven.controller.quorum_contact import QuorumContact
from linkhaven.stage.changecourse import (
    RESTARTED,
    WIPED,
    WOKEN,
    ChangeCourse,
)
from linkhaven.stage.control import LEGS, judge_changes
from linkhaven.stage.cutcourse import PLAN
from linkhaven.stage.orders import REFUSED, Order

SECOND = 1_000_000
CHANGES_A_LEG = 63


@pytest.mark.parametrize("seats", [3, 5])
def test_after_hundreds_of_changes_whoever_comes_back_is_soon_current_and_never_leads_before(seats):
    course = ChangeCourse(seats, seats, CHANGES_A_LEG).run(LEGS)
    assert course.newest >= CHANGES_A_LEG * len(LEGS)
    assert judge_changes(course) == {}
    first = Order(0, 1, "text 000001", PLAN)
    told = [course.operators.put(name, first) for name in course.core.machines]
    course.core.world.run_for(2 * SECOND)
    assert [one for one in told if one.outcome == REFUSED] == []


def vote_before_reading(monkeypatch):
    weigh = Recovery._evaluate_reports

    def hasty(self, now_us):
        weigh(self, now_us)
        if self.transfer.peers:
            self.transfer.end()
            self.replica.begin_voting()

    def vote_once(self):
        """Its own recovery ends later, and would begin votes a second time, which is refused."""
        if not self.replica.is_voting:
            end(self)

    end = Recovery.on_peer_read
    monkeypatch.setattr(Recovery, "_evaluate_reports", hasty)
    monkeypatch.setattr(Recovery, "on_peer_read", vote_once)


def serve_without_contact(monkeypatch):
    monkeypatch.setattr(QuorumContact, "is_held", lambda self: True)


def remember_every_order(monkeypatch):
    def extend_without_end(value, taken):
        return [*(value or {}).get("taken", []), taken.as_row()]

    monkeypatch.setattr(store, "extend_history", extend_without_end)


@pytest.mark.parametrize(
    "sabotage, legs, breach",
    [
        (vote_before_reading, (WIPED, WIPED), "early"),
        (serve_without_contact, (WIPED, WOKEN, WIPED), "old_news"),
        (remember_every_order, (RESTARTED, RESTARTED, WIPED, RESTARTED, WIPED), "disk_grows"),
    ],
)
def test_each_mechanism_of_coming_back_is_needed(monkeypatch, sabotage, legs, breach):
    sabotage(monkeypatch)
    assert breach in judge_changes(ChangeCourse(1, 3, CHANGES_A_LEG).run(legs))
