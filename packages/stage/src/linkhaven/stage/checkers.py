"""Rules that every run must keep, judged on its record alone.

A checker yields a line of text for each breach. Records are lists of (time in us, kind, facts);
bounds are keyword arguments, and each checker ignores those that it doesn't know.
"""

from collections import defaultdict

from .explore.linearizability import is_linearizable
from .explore.records import history_of
from .quota_checkers import QUOTA_CHECKERS
from .standins import count_pieces, piece_text
from .tenant_checkers import TENANT_CHECKERS

SECOND = 1_000_000
ANSWER_US = 10_000  # a response's longest way from a runner to its router
AT_ONCE = (
    "plan_absent",
    "unknown_kind",
    "prompt_too_long",
    "draining",
    "too_busy",
    "queue_full",
    "bad_request",
    "not_resumable",
)
"""Refusals whose reason a router knows when the request arrives."""

CLOSED = ("plan_stale", "roster_stale")
"""Refusals of a router whose configuration or list of runners is too old."""

NOT_ALLOWED = ("credit_spent", "api_key_missing", "api_key_unknown", "quota_spent")
"""Refusals that no recovery of the fleet would change."""


def _of(record, kind):
    return [(at_us, facts) for at_us, noted, facts in record if noted == kind]


def one_time_work_runs_once(record, **terms):
    """A one-time request, or one idempotency key of a tenant, never has two shots begun at
    runners."""
    keys = {facts["id"]: facts["key"] for _, facts in _of(record, "asked") if facts["key"]}
    shots, decodes = defaultdict(set), defaultdict(int)
    for _, facts in _of(record, "begin"):
        if not facts["one_time"]:
            continue
        work = (facts.get("tenant"), keys.get(facts["asked"], facts["asked"]))
        shots[work].add((facts["request"], facts["shot"]))
        if facts["what"] == "decode":
            decodes[(facts["request"], facts["shot"])] += 1
    for (tenant, work), begun in shots.items():
        if len(begun) > 1:
            owner = f" of {tenant}" if tenant else ""
            yield f"one-time work {work}{owner} was begun {len(begun)} times: {sorted(begun)}"
    for shot, count in decodes.items():
        if count > 1:
            yield f"shot {shot} was decoded {count} times"


def a_refusal_means_not_done(record, **terms):
    """Once a call was refused, nothing of it was or will be begun."""
    sent, refused = {}, {}
    for at_us, kind, facts in record:
        if kind == "asked":
            sent[facts["id"]] = at_us
        elif kind == "ended" and facts["how"] == "refused":
            refused[facts["id"]] = sent[facts["id"]]
    for at_us, facts in _of(record, "begin"):
        if facts["asked"] in refused and at_us >= refused[facts["asked"]]:
            yield f"{facts['asked']} was refused and yet {facts['what']} began at {at_us}"


def _frozen_spans(record):
    """When each process was frozen: address to [from, until] pairs; until is None if it
    never woke."""
    spans = defaultdict(list)
    for at_us, kind, facts in record:
        if kind == "frozen":
            spans[facts["address"]].append([at_us, None])
        elif kind in ("woken", "killed") and spans[facts["address"]]:
            spans[facts["address"]][-1][1] = spans[facts["address"]][-1][1] or at_us
    return spans


def every_caller_hears_back(record, deadlines=None, within_us=SECOND // 2, **terms):
    """Every call ends, and by its deadline. Only a frozen process may be late; it answers soon
    after it wakes."""
    asked, ended, frozen_spans = {}, {}, _frozen_spans(record)
    for at_us, kind, facts in record:
        if kind == "asked":
            asked[facts["id"]] = (at_us, facts)
        elif kind == "ended":
            ended[facts["id"]] = at_us
    for id, (at_us, facts) in asked.items():
        if id not in ended:
            if not any(until_us is None for _, until_us in frozen_spans[facts["router"]]):
                yield f"{id} never heard back from {facts['router']}"
            continue
        if not deadlines:
            continue
        due_us = at_us + deadlines[facts["kind"]]
        for from_us, until_us in frozen_spans[facts["router"]]:
            if from_us <= due_us and until_us is not None and until_us >= at_us:
                due_us = max(due_us, until_us)
        if ended[id] > due_us + within_us:
            yield f"{id} heard back {ended[id] - due_us} us after {facts['router']} had to answer"


def streams_are_whole(record, **terms):
    """A stream has the pieces of one run, in order, none skipped or repeated, as the runner made
    them; it is reported done only when complete."""
    asked, runs, last = {}, {}, {}
    for _, kind, facts in record:
        if kind == "asked":
            asked.setdefault(facts["id"], facts)
            if facts["resume"] and facts["id"] not in runs:
                run, _, number = facts["resume"].rpartition(":")
                runs[facts["id"]], last[facts["id"]] = run, int(number)
        elif kind == "piece":
            id = facts["id"]
            if facts.get("own") and not facts["run"].startswith(facts["own"] + "-"):
                yield f"{id} has a piece of run {facts['run']}, made for another prompt"
            if runs.setdefault(id, facts["run"]) != facts["run"]:
                yield f"{id} joins run {facts['run']} to {runs[id]}"
            if facts["number"] != last.get(id, 0) + 1:
                yield f"{id} has piece {facts['number']} after {last.get(id, 0)}"
            if facts["text"] != piece_text(facts["run"], facts["number"]):
                yield f"{id} has a piece {facts['number']} that its run did not make"
            last[id] = facts["number"]
        elif kind == "ended" and facts["how"] == "done":
            id = facts["id"]
            whole = (
                count_pieces(runs[id], asked[id]["answer_tokens"], terms.get("piece_tokens", 4))
                if id in runs
                else None
            )
            if facts["count"] != last.get(id, 0) or facts["count"] != whole:
                yield f"{id} looks complete with {last.get(id, 0)} pieces, told {facts['count']}, whole {whole}"


def memory_is_never_shared(record, **terms):
    """KV memory of a request never goes to another request or shot, neither as a router's handle
    nor in a transfer."""
    issued = {}
    for _, kind, facts in record:
        if kind == "issued":
            issued[facts["handle"]] = (facts["request"], facts["shot"])
        elif kind == "offered" and facts.get("handle"):
            owner = issued.get(facts["handle"])
            if owner != (facts["request"], facts["shot"]):
                yield f"{facts['request']} shot {facts['shot']} was sent with the handle of {owner}"
        elif kind == "kv" and (
            facts["wanted"] != facts["got"] or facts["shot"] != facts["got_shot"]
        ):
            yield f"{facts['runner']} got memory of {facts['got']} for {facts['wanted']}"


def plans_are_in_force(record, within_us=2_200_000, **terms):
    """Later than `within_us` after a put was acknowledged, nothing is sent to a runner under an
    older plan."""
    acked = _of(record, "acked")
    for _, facts in _of(record, "offered"):
        for acked_us, acknowledged in acked:
            if facts["sent_us"] > acked_us + within_us and facts["mark"] < acknowledged["mark"]:
                yield f"{facts['request']} was sent at {facts['sent_us']} under mark {facts['mark']}; {acknowledged['mark']} was acknowledged at {acked_us}"
                break


def marks_never_go_back(record, **terms):
    """By time of sending, no node offers work or sends orders under an older mark than it used
    before; and no runner that checks marks accepts anything under an older mark than it has seen.
    """
    sent = [
        (
            facts["sent_us"],
            facts["holder"] if kind == "order" else facts["request"].rsplit("-", 2)[0],
            facts["mark"],
        )
        for _, kind, facts in record
        if kind in ("offered", "order")
    ]
    highest = {}
    for sent_us, node, mark in sorted(sent):
        if mark < highest.get(node, 0):
            yield f"{node} went back from mark {highest[node]} to {mark} at {sent_us}"
        highest[node] = max(mark, highest.get(node, 0))
    seen = {}
    for _, kind, facts in record:
        if kind != "taken" and not (kind == "order" and facts["is_taken"]):
            continue
        runner = (facts["runner"], facts["incarnation"])
        if facts["mark"] < seen.get(runner, 0):
            yield f"{facts['runner']} took work under mark {facts['mark']} after {seen[runner]}"
        seen[runner] = max(facts["mark"], seen.get(runner, 0))


def acknowledged_plans_survive(record, **terms):
    """An acknowledged plan, or a newer one, is there at the end, and no mark was acknowledged for
    two puts."""
    acked = _of(record, "acked")
    puts = {}
    for _, facts in acked:
        if puts.setdefault(facts["mark"], facts["put_id"]) != facts["put_id"]:
            yield f"mark {facts['mark']} was acknowledged for {puts[facts['mark']]} and {facts['put_id']}"
    shown = [facts for at_us, facts in _of(record, "shown")]
    if not acked or not shown:
        return
    top = max(puts)
    last = shown[-1]
    if last["mark"] < top or last["mark"] == top and last["put_id"] != puts[top]:
        yield f"mark {top} of {puts[top]} was acknowledged; the core shows mark {last['mark']} of {last['put_id']}"


def leaving_runners_get_no_work(record, within_us=3 * SECOND, **terms):
    """No work is sent to a runner later than the bound after it was listed as leaving. A router
    that the runner itself told so sends it none after ANSWER_US, which the answer may need on its
    way."""
    leaving, told_leaving = {}, {}
    for at_us, kind, facts in record:
        if kind == "listed":
            for name, state in facts["runners"].items():
                if state == "leaving":
                    lag_us = facts.get("lag_us", 0)
                    leaving.setdefault(name, at_us + (lag_us if lag_us > SECOND else 0))
                else:
                    leaving.pop(name, None)
        elif kind == "said_leaving":
            told_leaving.setdefault((facts["runner"], facts["incarnation"], facts["router"]), at_us)
        elif kind == "offered":
            sent_us = facts["sent_us"]
            if facts["runner"] in leaving and sent_us > leaving[facts["runner"]] + within_us:
                yield f"{facts['runner']} is leaving since {leaving[facts['runner']]} and was sent {facts['request']} at {sent_us}"
            told_us = told_leaving.get(
                (facts["runner"], facts["incarnation"], facts["request"].rsplit("-", 2)[0])
            )
            if told_us is not None and sent_us > told_us + ANSWER_US:
                yield f"{facts['runner']} told its router at {told_us} that it leaves, and was sent {facts['request']} at {sent_us}"


def extra_shots_keep_to_the_budget(record, share=0.2, margin=10, span_us=10 * SECOND, **terms):
    """In every span, extra shots stay within the share of the requests plus the margin."""
    asked = [at_us for at_us, facts in _of(record, "arrived")]
    extra, seen = [], set()
    for at_us, facts in _of(record, "offered"):
        if facts["shot"] > 1 and (facts["request"], facts["shot"]) not in seen:
            seen.add((facts["request"], facts["shot"]))
            extra.append(at_us)
    for edge in extra:
        for begin in (edge, edge - span_us):
            tries = sum(1 for at_us in extra if begin <= at_us <= begin + span_us)
            requests = sum(1 for at_us in asked if begin <= at_us <= begin + span_us)
            if tries > share * requests + margin:
                yield f"{tries} extra shots over {requests} requests in the span from {begin}"
                return


def one_holder_orders(record, **terms):
    """A fence belongs to one holder. By time of sending, nobody orders under a fence once a newer
    one was won, whether the order is taken or refused; no runner accepts a lower fence than before,
    not even after a restart; and no role is held by two nodes at once."""
    holders, fences = {}, {}
    won = [
        (at_us, facts["fence"]) for at_us, facts in _of(record, "won") if facts["duty"] == "steward"
    ]
    won += [(facts["sent_us"], facts["fence"]) for _, facts in _of(record, "order")]
    for at_us, kind, facts in record:
        if kind == "won" and facts["duty"] == "steward":
            if holders.setdefault(facts["fence"], facts["node"]) != facts["node"]:
                yield f"fence {facts['fence']} was won by {holders[facts['fence']]} and {facts['node']}"
        elif kind == "held":
            for role, names in facts["duties"].items():
                if len(names) > 1:
                    yield f"{role} was held by {' and '.join(names)} at {at_us}"
        elif kind == "order":
            fence = facts["fence"]
            if holders.setdefault(fence, facts["holder"]) != facts["holder"]:
                yield f"fence {fence} was used by {holders[fence]} and {facts['holder']}"
            for won_us, newer in won:
                if newer > fence and facts["sent_us"] > won_us:
                    yield f"{facts['holder']} ordered with fence {fence} at {facts['sent_us']}, though {newer} was won at {won_us}"
                    break
            if not facts["is_taken"]:
                continue
            if fence < fences.get(facts["runner"], 0):
                yield f"{facts['runner']} took fence {fence} after {fences[facts['runner']]}"
            if facts["named"] != facts["incarnation"]:
                yield f"{facts['runner']} took an order for its start {facts['named']} at its start {facts['incarnation']}"
            fences[facts["runner"]] = max(fence, fences.get(facts["runner"], 0))


def refusals_come_in_time(
    record,
    at_once_us=SECOND // 2,
    claim_us=5 * SECOND // 2,
    closed_us=11 * SECOND // 5,
    in_force_us=2 * SECOND,
    **terms,
):
    """A refusal is sent as soon as its reason is known: at once where only the call was looked at,
    and soon after its router closed (a connection still being made has two seconds); never only at
    the deadline for want of credit or behind a closed router."""
    asked, shuts, frozen_spans = {}, defaultdict(list), _frozen_spans(record)
    acked = [at_us for at_us, facts in _of(record, "acked")]
    for at_us, kind, facts in record:
        if kind == "asked":
            asked[facts["id"]] = (at_us, facts)
        elif kind == "shut":
            shuts[facts["address"]].append(at_us)
        elif kind == "ended" and facts["how"] == "refused":
            asked_us, call = asked[facts["id"]]
            router = call["router"]
            if facts["code"] == "deadline_unserved" and facts["cause"] in ("credit", "closed"):
                yield f"{facts['id']} was kept until its deadline for want of {facts['cause']}"
            if any(
                from_us < at_us and (until_us is None or until_us > asked_us)
                for from_us, until_us in frozen_spans[router]
            ):
                continue
            known_us = asked_us + at_once_us + (claim_us if call["key"] else 0)
            if facts["code"] in CLOSED:
                known_us = max(
                    [
                        known_us,
                        *[shut_us + closed_us for shut_us in shuts[router] if shut_us < at_us],
                    ]
                )
            if facts["code"] == "unknown_kind":
                known_us = max(
                    [known_us, *[acked_us + in_force_us for acked_us in acked if acked_us < at_us]]
                )
            if facts["code"] in (*AT_ONCE, *CLOSED) and at_us > known_us:
                yield f"{facts['id']} was refused with {facts['code']} {at_us - known_us} us later than {router} could know"


def answers_fit_their_mark(record, **terms):
    """An answer names one mark and fits that plan: its kind exists there and the answer's length is
    within bounds."""
    puts = {facts["put_id"]: facts["plan"] for _, facts in _of(record, "put")}
    plans = {facts["mark"]: puts[facts["put_id"]] for _, facts in _of(record, "acked")}
    asked = {facts["id"]: facts for _, facts in _of(record, "asked")}
    for _, facts in _of(record, "ended"):
        plan = plans.get(facts.get("mark"))
        if facts["how"] != "done" or plan is None:
            continue
        call = asked[facts["id"]]
        kind = plan["kinds"].get(call["kind"])
        if kind is None or kind["group"] not in plan["groups"]:
            yield f"{facts['id']} was served under mark {facts['mark']}, which has no {call['kind']}"
        elif call["answer_tokens"] > kind.get("answer_tokens", call["answer_tokens"]):
            yield f"{facts['id']} was served {call['answer_tokens']} tokens under mark {facts['mark']}, which allows {kind['answer_tokens']}"


def work_is_served_again(
    record, after_us=12 * SECOND, for_us=8 * SECOND, most=0.9, most_of_a_kind=0.5, **terms
):
    """Later than `after_us` after the last fault closed, most requests are served, and most of each
    kind.

    Not counted are requests with an idempotency key that was used before, and those refused because
    a group has no credit or a caller no key or quota left.
    """
    closed = [at_us for at_us, facts in _of(record, "closed")]
    if not closed:
        return
    begin_us = max(closed) + after_us
    asked, served, kinds, keys = set(), set(), defaultdict(set), {}
    for at_us, kind, facts in record:
        if (
            kind == "asked"
            and facts["key"]
            and keys.setdefault(facts["key"], facts["id"]) != facts["id"]
        ):
            continue
        if kind == "asked" and begin_us <= at_us < begin_us + for_us and not facts["resume"]:
            asked.add(facts["id"])
            kinds[facts["kind"]].add(facts["id"])
        elif kind == "ended" and facts["how"] == "done":
            served.add(facts["id"])
        elif kind == "ended" and facts["code"] in NOT_ALLOWED:
            asked.discard(facts["id"])
            for ids in kinds.values():
                ids.discard(facts["id"])
    if asked and len(asked & served) < most * len(asked):
        yield f"{len(asked & served)} of {len(asked)} requests were served from {begin_us} on"
    for kind, ids in kinds.items():
        if ids and len(ids & served) < most_of_a_kind * len(ids):
            yield f"{len(ids & served)} of {len(ids)} requests of {kind} were served from {begin_us} on"


def shares_stay_within_the_allowance(record, **terms):
    """The credit rates held by routers never sum to more than the group's allowance."""
    for at_us, facts in _of(record, "shares"):
        for group, (held, allowance) in facts["groups"].items():
            if held > allowance * 1.0001:
                yield f"routers hold {held:.1f} of {allowance:.1f} tokens a second of {group} at {at_us}"
                return


def orders_are_linearizable(record, **terms):
    """The answers to operators' puts and reads are those of a linearizable register."""
    operations = history_of(record)
    if not is_linearizable(operations):
        yield "; ".join(repr(operation) for operation in operations)


CHECKERS = (
    one_time_work_runs_once,
    a_refusal_means_not_done,
    every_caller_hears_back,
    streams_are_whole,
    memory_is_never_shared,
    plans_are_in_force,
    marks_never_go_back,
    acknowledged_plans_survive,
    orders_are_linearizable,
    leaving_runners_get_no_work,
    extra_shots_keep_to_the_budget,
    one_holder_orders,
    work_is_served_again,
    shares_stay_within_the_allowance,
    refusals_come_in_time,
    answers_fit_their_mark,
    *TENANT_CHECKERS,
    *QUOTA_CHECKERS,
)


def judge(record, **terms):
    """All breaches in a run's record, by the name of the checker."""
    breaches = {}
    for checker in CHECKERS:
        found = list(checker(record, **terms))
        if found:
            breaches[checker.__name__] = found
    return breaches
