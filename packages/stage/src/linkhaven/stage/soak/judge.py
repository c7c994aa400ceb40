"""Checks the records of a soak's processes, callers and operators against the rules.

Each breach is reported as a line of text.
"""

import re
from collections import defaultdict
from itertools import islice

import msgspec

from linkhaven.runtime import Bounds

from ..checkers import (
    NOT_ALLOWED,
    a_refusal_means_not_done,
    acknowledged_plans_survive,
    answers_fit_their_mark,
    every_caller_hears_back,
    memory_is_never_shared,
    one_time_work_runs_once,
    orders_are_linearizable,
    streams_are_whole,
)
from ..quota_checkers import QUOTA_CHECKERS
from ..tenant_checkers import TENANT_CHECKERS
from .schedule import JUDGED_US, RECOVERY_US, SECOND_US

ANSWER_MARGIN_US = 5 * SECOND_US
"""How long after its deadline a caller may get its answer, to allow for a busy machine."""

APPLIED_WITHIN_US = 4 * SECOND_US
"""How long after its acknowledgement a plan may not yet be in force at a router: the 2.2 s after
which a router without a confirmation closes, and a margin for a busy machine."""

WINDOW_US = 2 * SECOND_US
WINDOW_STEP_US = SECOND_US
MIN_SERVED_SHARE = 0.25
MIN_WINDOW_REQUESTS = 4
"""Windows with fewer requests are not judged: the share served means nothing."""

RUNNER_UNDISTURBED_US = 5 * SECOND_US
"""How long a decode runner must have been free of faults before service is required of it."""

MAX_BREACHES_PER_RULE = 5
MAX_BREACH_LENGTH = 400
APPLIED_EVENT = re.compile(r" LH2001 .*\"mark\":(\d+)")
STARTED_EVENT = " LH1001 "
FAULT_EVENTS = re.compile(r" LH(1005|19\d\d) ")
TRACEBACK = "Traceback (most recent call last)"
CHECKERS = (
    one_time_work_runs_once,
    a_refusal_means_not_done,
    every_caller_hears_back,
    streams_are_whole,
    memory_is_never_shared,
    answers_fit_their_mark,
    orders_are_linearizable,
    *TENANT_CHECKERS,
    *QUOTA_CHECKERS,
)


class Window(msgspec.Struct, frozen=True):
    """A time window of the load: the requests sent in it, and how many of them were served."""

    begin_us: int
    asked: int
    served: int
    is_after_faults: bool


class Verdict(msgspec.Struct):
    """The result for one seed: breaches by rule, and the windows in which service was required."""

    breaches: dict[str, list[str]]
    windows: list[Window]

    def least_share(self):
        """The share served in the worst window, or None without any window."""
        return min((window.served / window.asked for window in self.windows), default=None)


class Span(msgspec.Struct, frozen=True):
    """One fault as it took place: from its begin until its targets were restored."""

    kind: str
    targets: tuple[str, ...]
    begin_us: int
    end_us: int


def spans_of(record, end_us):
    """The faults of a record by begin; one that never ended lasts until `end_us`."""
    begun, spans = {}, []
    for at_us, kind, facts in record:
        if kind == "fault":
            begun[facts["fault"]] = (at_us, facts)
        elif kind == "over":
            from_us, facts = begun.pop(facts["fault"])
            spans.append(Span(facts["kind"], tuple(facts["targets"]), from_us, at_us))
    spans += [
        Span(facts["kind"], tuple(facts["targets"]), from_us, end_us)
        for from_us, facts in begun.values()
    ]
    return sorted(spans, key=lambda span: span.begin_us)


class Service:
    """Decides in which windows of the load the fleet must serve."""

    __slots__ = ("roles", "spans", "begin_us", "end_us", "last_fault_end_us")

    def __init__(self, roles, record):
        """Read the begin and end of the load and of each fault from the record."""
        self.roles = roles
        self.begin_us = next(at_us for at_us, kind, _ in record if kind == "load_begun")
        self.end_us = max(at_us for at_us, kind, _ in record if kind == "load_ended")
        self.spans = spans_of(record, self.end_us)
        self.last_fault_end_us = max((span.end_us for span in self.spans), default=self.begin_us)

    def window_starts(self):
        """Start times of all complete windows of the load."""
        return range(self.begin_us, self.end_us - WINDOW_US + 1, WINDOW_STEP_US)

    def is_after_faults(self, begin_us):
        """Whether the window starts after the recovery time that follows the last fault."""
        return begin_us >= self.last_fault_end_us + RECOVERY_US

    def is_judged(self, begin_us):
        """Whether at least a quarter must be served in the window that starts at `begin_us`."""
        if self.is_after_faults(begin_us):
            return True
        return self._is_core_available(begin_us) and any(
            self._is_undisturbed(name, begin_us) for name in self.roles.decodes
        )

    def _is_core_available(self, begin_us):
        """Whether the window overlaps no loss of the whole core and no recovery from one."""
        return not any(
            set(self.roles.cores) <= set(span.targets)
            and span.begin_us < begin_us + WINDOW_US
            and span.end_us + RECOVERY_US > begin_us
            for span in self.spans
        )

    def _is_undisturbed(self, name, begin_us):
        """Whether no fault hit the runner in the five seconds before the window or during it."""
        return begin_us - RUNNER_UNDISTURBED_US >= self.begin_us and not any(
            name in span.targets
            and span.begin_us < begin_us + WINDOW_US
            and span.end_us > begin_us - RUNNER_UNDISTURBED_US
            for span in self.spans
        )


def windows_of(record, roles):
    """The judged windows, with the requests sent and those answered completely. Requests refused
    for lack of a key or quota, and those of a tenant during its load spike, are not counted."""
    service = Service(roles, record)
    first_asked, done, hot = {}, set(), set()
    for at_us, kind, facts in record:
        if kind == "tenant_load":
            (hot.add if facts["factor"] > 1 else hot.discard)(facts["tenant"])
        elif kind == "asked" and facts.get("client") not in hot:
            first_asked.setdefault(facts["id"], at_us)
        elif kind == "ended" and facts["how"] == "done":
            done.add(facts["id"])
        elif kind == "ended" and facts["code"] in NOT_ALLOWED:
            first_asked.pop(facts["id"], None)
    windows = []
    for begin_us in service.window_starts():
        ids = {id for id, at_us in first_asked.items() if begin_us <= at_us < begin_us + WINDOW_US}
        if len(ids) >= MIN_WINDOW_REQUESTS and service.is_judged(begin_us):
            is_after = service.is_after_faults(begin_us)
            windows.append(Window(begin_us, len(ids), len(ids & done), is_after))
    return windows


def find_starved(record, roles):
    """Report windows in which less than a quarter of the requests was served, and a load without
    any judged window after its faults, as such a run proves nothing."""
    windows = windows_of(record, roles)
    begin_us = Service(roles, record).begin_us
    for window in windows:
        if window.served < MIN_SERVED_SHARE * window.asked:
            when = "after the faults" if window.is_after_faults else "between faults"
            at_s = (window.begin_us - begin_us) / SECOND_US
            yield f"{window.served} of {window.asked} were served from {at_s:.1f} s on, {when}"
    if not any(window.is_after_faults for window in windows):
        yield "no window after the faults could be judged"


def find_lost_plans(record):
    """Report acknowledged plans that a core replica doesn't return as they were put at the end."""
    for _, kind, facts in record:
        if kind == "shown" and not facts["is_as_put"]:
            yield f"mark {facts['mark']} reads back as another plan than {facts['put_id']} put"
        elif kind == "unread":
            yield f"{facts['seat']} did not return its plan at the end"
    orders = [entry for entry in record if entry[1] == "acked"]
    finals = [entry for entry in record if entry[1] == "shown" and entry[2].get("seat")]
    if orders and not finals:
        yield "no plan was read at the end"
    for final in finals:
        yield from acknowledged_plans_survive([*orders, final])


def find_acknowledged_invalid_plans(record):
    """Report invalid plans that were acknowledged."""
    for _, kind, facts in record:
        if kind == "invalid_acked":
            yield f"mark {facts['mark']}: {facts['how']}"


def find_lower_fences(record):
    """Report orders that a runner accepted with a lower fencing token than an earlier one."""
    taken = {}
    for _, kind, facts in record:
        if kind != "order" or not facts["is_taken"]:
            continue
        runner, fence = (facts["runner"], facts["incarnation"]), facts["fence"]
        if fence < taken.get(runner, 0):
            yield (
                f"{facts['runner']} accepted an order of {facts['holder']} with "
                f"fencing token {fence} after {taken[runner]}"
            )
        taken[runner] = max(fence, taken.get(runner, 0))


def find_older_configurations(logs):
    """Report processes whose configuration went back to an older version without a restart."""
    for name, text in logs.items():
        highest = 0
        for line in text.splitlines():
            if STARTED_EVENT in line:
                highest = 0
            applied = APPLIED_EVENT.search(line)
            if applied is None:
                continue
            mark = int(applied[1])
            if mark < highest:
                yield f"{name} went back from mark {highest} to {mark}"
            highest = max(mark, highest)


def find_faulty_lines(logs):
    """Report log lines of unhandled messages or calls, violated invariants and tracebacks."""
    for name, text in logs.items():
        for line in text.splitlines():
            if FAULT_EVENTS.search(line) or TRACEBACK in line:
                yield f"{name}: {line}"


def find_bad_ends(record, codes):
    """Report processes that exited by themselves, or with a code other than 0 when stopped."""
    for at_us, kind, facts in record:
        if kind == "died":
            yield f"{facts['node']} ended by itself at {at_us}"
    for name, code in codes.items():
        if code != 0:
            yield f"{name} ended with code {code}"


def find_unfinished(record):
    """Report faults whose targets were never restored, and an operator that got no answer."""
    begun = {facts["fault"] for _, kind, facts in record if kind == "fault"}
    over = {facts["fault"] for _, kind, facts in record if kind == "over"}
    for number in sorted(begun - over):
        yield f"the targets of fault {number} were not restored"
    if any(kind == "operator_stuck" for _, kind, _ in record):
        yield "the operator did not get an answer"


def judge_soak(record, roles, kinds, logs, codes):
    """Check one seed's record, logs and exit codes against every rule."""
    parameters = {
        "deadlines": {kind: facts["deadline_us"] for kind, facts in kinds.items()},
        "within_us": ANSWER_MARGIN_US,
        "applied_within_us": APPLIED_WITHIN_US,
        "quota_slack": Bounds().quota_slack,
    }
    found = {checker.__name__: checker(record, **parameters) for checker in CHECKERS}
    found["acknowledged_plans_survive"] = find_lost_plans(record)
    found["invalid_plans_are_rejected"] = find_acknowledged_invalid_plans(record)
    found["service_comes_back"] = find_starved(record, roles)
    found["orders_have_rising_fences"] = find_lower_fences(record)
    found["configurations_never_go_back"] = find_older_configurations(logs)
    found["no_faulty_lines"] = find_faulty_lines(logs)
    found["processes_end_in_order"] = find_bad_ends(record, codes)
    found["faults_end"] = find_unfinished(record)
    breaches = defaultdict(list)
    for rule, lines in found.items():
        breaches[rule] += [
            line[:MAX_BREACH_LENGTH] for line in islice(lines, MAX_BREACHES_PER_RULE)
        ]
    breaches = {rule: lines for rule, lines in breaches.items() if lines}
    return Verdict(breaches, windows_of(record, roles))


def required_end_us(last_over_us):
    """When the load may end so that service after its last fault can be judged."""
    return last_over_us + RECOVERY_US + JUDGED_US
