"""Extracts the history of updates and reads from a simulated fleet's record, for the
linearizability checker.
"""

from .linearizability import READ, REFUSED, TAKEN, Operation

CONFLICT = "mark_conflict"


def _begin(at_us, facts):
    put_id, expect = facts["put_id"], facts["expect"]
    return Operation(put_id, "put", at_us, expect, expect + 1, put_id)


def _read(at_us, facts):
    """An answered read of the current plan."""
    operation = Operation(f"read@{at_us}", READ, facts["begun_us"])
    operation.end(at_us, READ, (facts["mark"], facts["put_id"]))
    return operation


def _answer(operation, at_us, kind, facts):
    """Records the response to an update.

    Returns False if the update is known to have had no effect for a reason other than a revision
    conflict; it is then no part of the history.
    """
    if kind == "acked":
        operation.end(at_us, TAKEN, facts["mark"])
    elif facts["code"] == CONFLICT:
        operation.end(at_us, REFUSED)
    else:
        return facts["done"] != "no"
    return True


def history_of(record):
    """The updates and reads of a record.

    An update answered as not done had no effect and is left out; one whose outcome is unknown, or
    that got no response, stays open.
    """
    orders, reads = {}, []
    for at_us, kind, facts in record:
        if kind == "put" and "expect" in facts:
            orders[facts["put_id"]] = _begin(at_us, facts)
        elif kind in ("acked", "unacked") and facts["put_id"] in orders:
            if not _answer(orders[facts["put_id"]], at_us, kind, facts):
                del orders[facts["put_id"]]
        elif kind == "shown" and "begun_us" in facts:
            reads.append(_read(at_us, facts))
    return [*orders.values(), *reads]
