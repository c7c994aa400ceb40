from linkhaven.clockwork import read_json
from linkhaven.schema import Trouble, check_document

from .check import check_plan, fill_plan

KEY = "plan"


def _with(plan, part, entries):
    if not plan:
        raise Trouble("plan_absent")
    return {**plan, part: entries}


def _without(plan, part, name):
    if name not in plan.get(part, {}):
        raise Trouble("plan_invalid", places=[{"place": f"{part}/{name}", "fault": "is not in the plan"}])
    return _with(plan, part, {other: terms for other, terms in plan[part].items() if other != name})


def put_group(plan, name, document):
    return _with(plan, "groups", {**plan.get("groups", {}), name: document["group"]})


def put_kind(plan, name, document):
    return _with(plan, "kinds", {**plan.get("kinds", {}), name: document["kind"]})


def remove_kind(plan, name, document):
    return _without(plan, "kinds", name)


def remove_group(plan, name, document):
    """Its kinds must have been attached to others or removed before: then no queued work is lost by surprise."""
    return _without(plan, "groups", name)


class PlanDesk:
    """Operators' side of the plan: check, show and put, each answered over HTTP by a registry."""

    __slots__ = ("node", "proposer", "seat", "image")

    def __init__(self, node, proposer, seat, image):
        self.node = node
        self.proposer = proposer
        self.seat = seat
        self.image = image
        node.paths.update({
            ("GET", "/v1/plan"): self.serve_show,
            ("PUT", "/v1/plan"): self.serve_put,
            ("POST", "/v1/plan/check"): self.serve_check,
            ("PUT", "/v1/groups/"): lambda call, name: self.serve_part(call, name, "GroupPut", put_group),
            ("DELETE", "/v1/groups/"): lambda call, name: self.serve_part(call, name, "PartRemove", remove_group),
            ("PUT", "/v1/kinds/"): lambda call, name: self.serve_part(call, name, "KindPut", put_kind),
            ("DELETE", "/v1/kinds/"): lambda call, name: self.serve_part(call, name, "PartRemove", remove_kind),
        })

    def serve_check(self, call):
        places = check_plan(read_json(call.body))
        if places:
            raise Trouble("plan_invalid", places=places)
        call.answer_json(200, {"fits": True})

    def serve_show(self, call):
        def done(outcome, value):
            if outcome != "chosen":
                return call.answer_trouble(Trouble("core_unready", done="no", retry_us=1_000_000, why=value))
            if value is None:
                return call.answer_json(200, {"mark": 0, "put_id": None, "plan": None})
            self.image.take(value)
            call.answer_json(200, value)

        self.proposer.read(KEY, done)

    def serve_put(self, call):
        document = check_document("PlanPut", read_json(call.body))
        fill_plan(document["plan"])
        self.put(document["expect"], document["put_id"], document["plan"], call)

    def serve_part(self, call, name, schema, edit):
        """One group or kind: a change of the whole plan, in the same two rounds with the expected mark."""
        document = check_document(schema, read_json(call.body))
        self.change(document["expect"], document["put_id"], lambda plan: edit(plan, name, document), call)

    def put(self, expect, put_id, plan, call):
        self.change(expect, put_id, lambda held: plan, call)

    def change(self, expect, put_id, edit, call):
        def step(value):
            mark = value["mark"] if value else 0
            if value and value["put_id"] == put_id:
                return "keep", None
            if mark != expect:
                return "stop", Trouble("mark_conflict", expect=expect, mark=mark)
            try:
                plan = edit(value["plan"] if value else {})
                fill_plan(plan)
            except Trouble as trouble:
                return "stop", trouble
            return "set", {"mark": mark + 1, "put_id": put_id, "plan": plan}

        def done(outcome, value):
            if outcome == "chosen":
                self.image.take(value)
                self.node.ports.log(1301, mark=value["mark"], put_id=put_id)
                return call.answer_json(200, {"mark": value["mark"], "put_id": put_id})
            if outcome == "stopped":
                self.node.ports.log(1302, expect=expect, code=value.code)
                return call.answer_trouble(value)
            if outcome == "unknown":
                self.node.ports.log(1303, expect=expect, put_id=put_id)
                return call.answer_trouble(Trouble("put_unknown", put_id=put_id))
            call.answer_trouble(Trouble("core_unready", retry_us=1_000_000, why=value))

        self.proposer.change(KEY, step, done)
