"""The history of orders and reads that the record of a simulated fleet tells, for the checker of histories."""

from .linearizability import READ, REFUSED, TAKEN, Operation

CONFLICT = "mark_conflict"


def _begin(at_us, facts):
    put_id, expect = facts["put_id"], facts["expect"]
    return Operation(put_id, "put", at_us, expect, expect + 1, put_id)


def _read(at_us, facts):
    """A read as it was answered, of whatever plan is in force."""
    operation = Operation(f"read@{at_us}", READ, facts["begun_us"])
    operation.end(at_us, READ, (facts["mark"], facts["put_id"]))
    return operation


def _answer(operation, at_us, kind, facts):
    """Ends an order by its answer; whether it had, or may have had, an effect or was refused for another's."""
    if kind == "acked":
        operation.end(at_us, TAKEN, facts["mark"])
    elif facts["code"] == CONFLICT:
        operation.end(at_us, REFUSED)
    else:
        return facts["done"] != "no"
    return True


def history_of(record):
    """Orders by their ids, and reads. An order answered as not done had no effect and is left out; one that was
    answered unclearly or not at all stays open."""
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
