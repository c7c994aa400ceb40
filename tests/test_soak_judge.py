"""The judge of a soak finds each breach in an altered record, and none in a correct one."""

import copy

import pytest

from linkhaven.stage.fleet import LICENSING
from linkhaven.stage.soak.judge import ANSWER_MARGIN_US, judge_soak
from linkhaven.stage.soak.schedule import RECOVERY_US, SECOND_US, process_roles
from linkhaven.stage.standins import count_pieces, piece_text

ROLES = process_roles(LICENSING)
BEGIN_US = 100 * SECOND_US
FAULT_US = BEGIN_US + 10 * SECOND_US
OVER_US = FAULT_US + 2 * SECOND_US
END_US = OVER_US + RECOVERY_US + 6 * SECOND_US
ASKED_EVERY_US = SECOND_US // 4
TOKENS = 40
RUN = "aabb-ccdd"
PLAN = LICENSING.plan()
LOGS = {"edge-1": "2026 INFO LH1001 edge-1: node started\n"}
CODES = {"edge-1": 0, "core-a": 0}


def request(at_us, id):
    """The entries of one request that is served completely."""
    count = count_pieces(RUN, TOKENS, 4)
    asked = {
        "id": id,
        "kind": "seat-question",
        "router": "edge-1",
        "resume": None,
        "key": None,
        "answer_tokens": TOKENS,
    }
    began = {
        "what": "decode",
        "runner": "runner-3",
        "request": f"edge-1-1-{id}",
        "shot": 1,
        "one_time": False,
        "asked": id,
    }
    yield (at_us, "asked", asked)
    yield (at_us + 1, "begin", began)
    for number in range(1, count + 1):
        piece = {"id": id, "run": RUN, "number": number, "text": piece_text(RUN, number)}
        yield (at_us + 1 + number, "piece", piece)
    ended = {"id": id, "how": "done", "code": None, "done": None, "count": count, "mark": 2}
    yield (at_us + 100, "ended", {**ended, "cause": None})


def correct_record():
    """A load with one fault and without any breach."""
    fault = {"fault": 0, "kind": "kill", "link": "", "targets": ["core-a"]}
    record = [
        (BEGIN_US - 4, "put", {"put_id": "fleet-0", "expect": 0, "plan": PLAN}),
        (BEGIN_US - 3, "acked", {"put_id": "fleet-0", "mark": 1}),
        (BEGIN_US - 2, "put", {"put_id": "put-1", "expect": 1, "plan": PLAN}),
        (BEGIN_US - 1, "acked", {"put_id": "put-1", "mark": 2}),
        (BEGIN_US, "load_begun", {}),
        (FAULT_US, "fault", fault),
        (OVER_US, "over", fault),
        (END_US, "load_ended", {}),
    ]
    for serial, at_us in enumerate(range(BEGIN_US, END_US, ASKED_EVERY_US)):
        record += request(at_us, f"callers-{serial}")
    for place, seat in enumerate(ROLES.cores):
        shown = {"mark": 2, "put_id": "put-1", "is_as_put": True, "seat": seat}
        at_us = END_US + place
        record.append((at_us, "shown", {**shown, "begun_us": at_us}))
    return sorted(record, key=lambda entry: entry[0])


def judge(record, logs=LOGS, codes=CODES):
    return judge_soak(
        sorted(record, key=lambda entry: entry[0]), ROLES, LICENSING.kinds, logs, codes
    )


def entries(record, kind, id="callers-8"):
    return [facts for _, noted, facts in record if noted == kind and facts.get("id", id) == id]


def without(record, kind, id):
    return [entry for entry in record if not (entry[1] == kind and entry[2].get("id") == id)]


def lose_an_end(record):
    return without(record, "ended", "callers-8")


def end_late(record):
    late_us = LICENSING.kinds["seat-question"]["deadline_us"] + ANSWER_MARGIN_US + SECOND_US
    return [
        (at_us + late_us if kind == "ended" and facts["id"] == "callers-8" else at_us, kind, facts)
        for at_us, kind, facts in record
    ]


def skip_a_piece(record):
    entries(record, "piece")[0]["number"] = 2
    return record


def double_a_piece(record):
    piece = next(entry for entry in record if entry[1] == "piece")
    return [*record, (piece[0] + 1, "piece", piece[2])]


def run_one_time_work_twice(record):
    began = next(facts for _, kind, facts in record if kind == "begin")
    again = [{**began, "one_time": True, "shot": shot} for shot in (1, 2)]
    return [*record, *((OVER_US, "begin", facts) for facts in again)]


def begin_what_was_refused(record):
    entries(record, "ended")[0].update(how="refused", done="no", code="too_busy")
    return record


def pass_on_foreign_memory(record):
    facts = {"runner": "runner-3", "wanted": "edge-1-1-1", "got": "edge-1-1-2"}
    return [*record, (OVER_US, "kv", {**facts, "shot": 1, "got_shot": 1})]


def forget_a_plan(record):
    for _, kind, facts in record:
        if kind == "shown" and facts["seat"] == "core-a":
            facts.update(mark=1, put_id="fleet-0")
    return record


def read_another_plan(record):
    next(facts for _, kind, facts in record if kind == "shown")["is_as_put"] = False
    return record


def read_no_plan(record):
    return [entry for entry in record if entry[1] != "shown"]


def leave_a_replica_unread(record):
    return [*record, (END_US, "unread", {"seat": "core-b"})]


def acknowledge_two(record):
    put = {"put_id": "put-2", "expect": 1, "plan": PLAN}
    acked = {"put_id": "put-2", "mark": 2}
    return [*record, (BEGIN_US, "put", put), (BEGIN_US + 1, "acked", acked)]


def serve_under_a_plan_without_the_kind(record):
    kinds = {name: kind for name, kind in PLAN["kinds"].items() if name != "seat-question"}
    for _, kind, facts in record:
        if kind == "put" and facts["put_id"] == "put-1":
            facts["plan"] = LICENSING.plan(kinds=kinds)
    return record


def refuse_between(record, begin_us, end_us):
    started = {
        facts["id"]
        for at_us, kind, facts in record
        if kind == "asked" and begin_us <= at_us < end_us
    }
    for _, kind, facts in record:
        if kind == "ended" and facts["id"] in started:
            facts.update(how="trouble", done="unknown", code="deadline_unserved")
    return record


def starve_after_the_faults(record):
    return refuse_between(record, END_US - 2 * SECOND_US, END_US)


def starve_between_faults(record):
    return refuse_between(record, BEGIN_US + 6 * SECOND_US, BEGIN_US + 8 * SECOND_US)


def judge_too_early(record):
    return [
        (OVER_US + SECOND_US if kind == "load_ended" else at_us, kind, facts)
        for at_us, kind, facts in record
    ]


def die(record):
    return [*record, (OVER_US, "died", {"node": "edge-2"})]


def keep_a_fault(record):
    fault = {"fault": 1, "kind": "kill", "link": "", "targets": ["edge-2"]}
    return [*record, (FAULT_US, "fault", fault)]


def leave_the_operator_waiting(record):
    return [*record, (END_US, "operator_stuck", {})]


def acknowledge_an_invalid_plan(record):
    facts = {"put_id": "invalid-operator-3", "how": "name_a_pool_of_an_empty_list", "mark": 3}
    return [*record, (OVER_US, "invalid_acked", facts)]


def reject_an_invalid_plan(record):
    facts = {"put_id": "invalid-operator-3", "how": "drop_all_groups", "code": "plan_invalid"}
    return [*record, (OVER_US, "invalid_rejected", facts)]


def test_a_rejected_invalid_plan_is_no_breach():
    assert judge(reject_an_invalid_plan(correct_record())).breaches == {}


def test_a_correct_record_has_no_breach():
    verdict = judge(correct_record())
    assert verdict.breaches == {}
    assert verdict.least_share() == 1.0
    assert {window.is_after_faults for window in verdict.windows} == {True, False}


@pytest.mark.parametrize(
    ("corrupt", "rule"),
    [
        (lose_an_end, "every_caller_hears_back"),
        (end_late, "every_caller_hears_back"),
        (skip_a_piece, "streams_are_whole"),
        (double_a_piece, "streams_are_whole"),
        (run_one_time_work_twice, "one_time_work_runs_once"),
        (begin_what_was_refused, "a_refusal_means_not_done"),
        (pass_on_foreign_memory, "memory_is_never_shared"),
        (forget_a_plan, "acknowledged_plans_survive"),
        (read_another_plan, "acknowledged_plans_survive"),
        (read_no_plan, "acknowledged_plans_survive"),
        (leave_a_replica_unread, "acknowledged_plans_survive"),
        (acknowledge_two, "orders_are_linearizable"),
        (serve_under_a_plan_without_the_kind, "answers_fit_their_mark"),
        (acknowledge_an_invalid_plan, "invalid_plans_are_rejected"),
        (starve_after_the_faults, "service_comes_back"),
        (starve_between_faults, "service_comes_back"),
        (judge_too_early, "service_comes_back"),
        (die, "processes_end_in_order"),
        (keep_a_fault, "faults_end"),
        (leave_the_operator_waiting, "faults_end"),
    ],
)
def test_each_breach_in_a_record_is_found(corrupt, rule):
    assert rule in judge(corrupt(copy.deepcopy(correct_record()))).breaches


@pytest.mark.parametrize(
    "line",
    [
        '2026 ERROR LH1005 edge-1: a message or call could not be handled {"fault":"x"}',
        "2026 ERROR LH1901 edge-1: invariant violated",
        "Traceback (most recent call last):",
    ],
)
def test_a_log_line_of_a_fault_is_found(line):
    logs = {"edge-1": f"2026 INFO LH1001 edge-1: node started\n{line}\n"}
    assert judge(correct_record(), logs=logs).breaches == {"no_faulty_lines": [f"edge-1: {line}"]}


def test_a_process_that_exits_with_an_error_is_found():
    assert judge(correct_record(), codes={"core-a": -11}).breaches == {
        "processes_end_in_order": ["core-a ended with code -11"]
    }


def test_no_service_is_required_while_the_whole_core_is_lost():
    record = [
        (
            at_us,
            kind,
            {**facts, "targets": list(ROLES.cores)} if kind in ("fault", "over") else facts,
        )
        for at_us, kind, facts in correct_record()
    ]
    starved = refuse_between(record, FAULT_US, OVER_US + RECOVERY_US)
    assert judge(starved).breaches == {}
