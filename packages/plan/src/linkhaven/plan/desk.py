from linkhaven.clockwork import read_json
from linkhaven.schema import Trouble, check_document

from .check import check_plan, fill_plan
from .overlay import lay_overlay, overlay_group, overlay_kind, overlay_of, overlay_without_group

KEY = "plan"


def _with(plan, part, entries):
    if not plan:
        raise Trouble("plan_absent")
    return {**plan, part: entries}


def _without(plan, part, name):
    if name not in plan.get(part, {}):
        raise Trouble(
            "plan_invalid", places=[{"place": f"{part}/{name}", "fault": "is not in the plan"}]
        )
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


def refuse_beside(plan, overlay, name, document):
    raise Trouble(
        "plan_invalid",
        places=[{"place": f"kinds/{name}", "fault": "is its document's; its sender removes it"}],
    )


class Part:
    """One edit of a group or kind: of the plan itself, or beside the document that the plan was read from."""

    __slots__ = ("schema", "edit", "edit_beside")

    def __init__(self, schema, edit, edit_beside):
        self.schema = schema
        self.edit = edit
        self.edit_beside = edit_beside


GROUP_PUT = Part(
    "GroupPut",
    put_group,
    lambda plan, overlay, name, document: overlay_group(plan, overlay, name, document["group"]),
)
GROUP_REMOVE = Part(
    "PartRemove",
    remove_group,
    lambda plan, overlay, name, document: overlay_without_group(plan, overlay, name),
)
KIND_PUT = Part(
    "KindPut",
    put_kind,
    lambda plan, overlay, name, document: overlay_kind(plan, overlay, name, document["kind"]),
)
KIND_REMOVE = Part("PartRemove", remove_kind, refuse_beside)


def outcome_trouble(outcome, value, put_id):
    if outcome == "stopped":
        return value
    if outcome == "unknown":
        return Trouble("put_unknown", put_id=put_id)
    return Trouble("core_unready", retry_us=1_000_000, why=value)


class PlanDesk:
    """Operators' side of the plan: check, show and put, each answered over HTTP by a registry."""

    __slots__ = ("node", "proposer", "seat", "image")

    def __init__(self, node, proposer, seat, image):
        self.node = node
        self.proposer = proposer
        self.seat = seat
        self.image = image
        node.paths.update(
            {
                ("GET", "/v1/plan"): self.serve_show,
                ("PUT", "/v1/plan"): self.serve_put,
                ("POST", "/v1/plan/check"): self.serve_check,
                ("PUT", "/v1/groups/"): lambda call, name: self.serve_part(call, name, GROUP_PUT),
                ("DELETE", "/v1/groups/"): lambda call, name: self.serve_part(
                    call, name, GROUP_REMOVE
                ),
                ("PUT", "/v1/kinds/"): lambda call, name: self.serve_part(call, name, KIND_PUT),
                ("DELETE", "/v1/kinds/"): lambda call, name: self.serve_part(
                    call, name, KIND_REMOVE
                ),
            }
        )

    def serve_check(self, call):
        places = check_plan(read_json(call.body))
        if places:
            raise Trouble("plan_invalid", places=places)
        call.answer_json(200, {"fits": True})

    def serve_show(self, call):
        def done(trouble, value):
            if trouble is not None:
                return call.answer_trouble(trouble)
            if value is None:
                return call.answer_json(200, {"mark": 0, "put_id": None, "plan": None})
            call.answer_json(200, {**value, "plan": lay_overlay(value["plan"], overlay_of(value))})

        self.read_document(done)

    def read_document(self, done):
        """done(trouble, value) with what a majority of the core holds: the plan, and the document it was read from."""

        def end(outcome, value):
            if outcome != "chosen":
                return done(Trouble("core_unready", done="no", retry_us=1_000_000, why=value), None)
            self.image.take(value)
            done(None, value)

        self.proposer.read(KEY, end)

    def put_document(self, base, revision, document, plan, done):
        """The document of another door, in place of the one of revision `base`. done(trouble, value)."""
        put_id = f"revision-{revision}"

        def step(value):
            held = (value or {}).get("revision") or 0
            if value and held == revision and value.get("document") == document:
                return "keep", None
            if held != base:
                return "stop", Trouble("revision_conflict", base=base, revision=held)
            if revision <= held:
                return "stop", Trouble("revision_old", given=revision, revision=held)
            try:
                fill_plan(plan)
            except Trouble as trouble:
                return "stop", trouble
            mark = value["mark"] if value else 0
            return "set", {
                "mark": mark + 1,
                "put_id": put_id,
                "plan": plan,
                "document": document,
                "revision": revision,
                "overlay": overlay_of(value),
            }

        def end(outcome, value):
            if outcome == "chosen":
                self.image.take(value)
                self.node.ports.log(1301, mark=value["mark"], put_id=put_id)
                return done(None, value)
            if outcome == "stopped":
                self.node.ports.log(1302, expect=base, code=value.code)
            if outcome == "unknown":
                self.node.ports.log(1303, expect=base, put_id=put_id)
            done(outcome_trouble(outcome, value, put_id), None)

        self.proposer.change(KEY, step, end)

    def serve_put(self, call):
        document = check_document("PlanPut", read_json(call.body))
        fill_plan(document["plan"])
        self.put(document["expect"], document["put_id"], document["plan"], call)

    def serve_part(self, call, name, part):
        """One group or kind: a change of the whole value, in the same two rounds with the expected mark."""
        document = check_document(part.schema, read_json(call.body))

        def edit(value):
            if value.get("document") is not None:
                return {
                    **value,
                    "overlay": part.edit_beside(value["plan"], overlay_of(value), name, document),
                }
            plan = part.edit(value.get("plan") or {}, name, document)
            fill_plan(plan)
            return {**value, "plan": plan}

        self.change(document["expect"], document["put_id"], edit, call)

    def put(self, expect, put_id, plan, call):
        """Takes the place of a document, too: what that held under its revision is then no longer in force."""

        def edit(value):
            fill_plan(plan)
            return {
                "plan": plan,
                "document": None,
                "revision": value.get("revision") or 0,
                "overlay": overlay_of(None),
            }

        self.change(expect, put_id, edit, call)

    def change(self, expect, put_id, edit, call):
        def step(value):
            mark = value["mark"] if value else 0
            if value and value["put_id"] == put_id:
                return "keep", None
            if mark != expect:
                return "stop", Trouble("mark_conflict", expect=expect, mark=mark)
            try:
                edited = edit(value or {})
            except Trouble as trouble:
                return "stop", trouble
            return "set", {**edited, "mark": mark + 1, "put_id": put_id}

        def done(outcome, value):
            if outcome == "chosen":
                self.image.take(value)
                self.node.ports.log(1301, mark=value["mark"], put_id=put_id)
                return call.answer_json(200, {"mark": value["mark"], "put_id": put_id})
            if outcome == "stopped":
                self.node.ports.log(1302, expect=expect, code=value.code)
            if outcome == "unknown":
                self.node.ports.log(1303, expect=expect, put_id=put_id)
            call.answer_trouble(outcome_trouble(outcome, value, put_id))

        self.proposer.change(KEY, step, done)
