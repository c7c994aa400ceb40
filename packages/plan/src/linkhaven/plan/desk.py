from linkhaven.clockwork import read_json
from linkhaven.schema import Trouble, check_document

from .check import check_plan, fill_plan

KEY = "plan"


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

    def put(self, expect, put_id, plan, call):
        def step(value):
            mark = value["mark"] if value else 0
            if value and value["put_id"] == put_id:
                return "keep", None
            if mark != expect:
                return "stop", mark
            return "set", {"mark": mark + 1, "put_id": put_id, "plan": plan}

        def done(outcome, value):
            if outcome == "chosen":
                self.image.take(value)
                self.node.ports.log(1301, mark=value["mark"], put_id=put_id)
                return call.answer_json(200, {"mark": value["mark"], "put_id": put_id})
            if outcome == "stopped":
                self.node.ports.log(1302, expect=expect, mark=value)
                return call.answer_trouble(Trouble("mark_conflict", expect=expect, mark=value))
            if outcome == "unknown":
                self.node.ports.log(1303, expect=expect, put_id=put_id)
                return call.answer_trouble(Trouble("put_unknown", put_id=put_id))
            call.answer_trouble(Trouble("core_unready", retry_us=1_000_000, why=value))

        self.proposer.change(KEY, step, done)
