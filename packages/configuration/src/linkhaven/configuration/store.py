from linkhaven.api import ServiceError, check_document
from linkhaven.runtime import read_json

from .blobs import digests_of, name_blobs
from .document_update import DocumentUpdate
from .history import (
    CommittedUpdate,
    digest_of_json,
    digest_of_update,
    extend_history,
    find_update,
    knows_version,
)
from .overlay import (
    apply_overlay,
    attach_overlay_kind,
    overlay_of,
    put_overlay_group,
    remove_overlay_group,
)
from .patch import apply_to_mappings, read_mapping_patch
from .validation import decode_configuration, list_document_faults

KEY = "plan"
SHOWN = ("mark", "put_id", "plan", "document", "revision", "overlay")
GATHER_TRIES = 3
PATCHED_PARTS = ("groups", "kinds", "pools")
RETRY_US = 1_000_000


def _with(plan, part, entries):
    if not plan:
        raise ServiceError("plan_absent")
    return {**plan, part: entries}


def _without(plan, part, name):
    if name not in plan.get(part, {}):
        raise ServiceError(
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
    raise ServiceError(
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
    lambda plan, overlay, name, document: put_overlay_group(plan, overlay, name, document["group"]),
)
GROUP_REMOVE = Part(
    "PartRemove",
    remove_group,
    lambda plan, overlay, name, document: remove_overlay_group(plan, overlay, name),
)
KIND_PUT = Part(
    "KindPut",
    put_kind,
    lambda plan, overlay, name, document: attach_overlay_kind(
        plan, overlay, name, document["kind"]
    ),
)
KIND_REMOVE = Part("PartRemove", remove_kind, refuse_beside)


def outcome_error(outcome, value, put_id):
    if outcome == "stopped":
        return value
    if outcome == "unknown":
        return ServiceError("put_unknown", retry_us=RETRY_US, put_id=put_id)
    return ServiceError("core_unready", retry_us=RETRY_US, why=value)


def lacking_body():
    return ServiceError(
        "core_unready", done="no", retry_us=RETRY_US, why="no seat gave the body of the plan"
    )


def is_put_taken(value, put_id, digest):
    """Also of a value that an earlier version of this program wrote, without a history."""
    taken = find_update(value, put_id)
    if taken is not None:
        return taken.digest == digest
    return value is not None and "taken" not in value and value["put_id"] == put_id


def refuse_put(value, expect, put_id):
    """Why a put that the history has no row of isn't taken now; None where it may be."""
    mark = value["mark"] if value else 0
    if find_update(value, put_id) is not None:
        return ServiceError("put_id_used", put_id=put_id)
    if mark == expect:
        return None
    if expect < mark and not knows_version(value, expect + 1):
        return ServiceError("put_unknown", put_id=put_id)
    return ServiceError("mark_conflict", expect=expect, mark=mark)


def digest_of_put(call, ordered):
    """What a native order asks for: where, and its document without the mark and the id."""
    asked = {key: ordered[key] for key in ordered if key not in ("expect", "put_id")}
    return digest_of_json([call.method, call.path.partition("?")[0], asked])


class ConfigurationStore:
    """Operators' side of the plan: check, show and put, each answered over HTTP by a registry."""

    __slots__ = ("node", "proposer", "blobs", "snapshot")

    def __init__(self, node, proposer, blobs, snapshot):
        """Its paths are the node's from here on."""
        self.node = node
        self.proposer = proposer
        self.blobs = blobs
        self.snapshot = snapshot
        node.routes.update(
            {
                ("GET", "/v1/plan"): self.serve_show,
                ("PUT", "/v1/plan"): self.serve_put,
                ("PATCH", "/v1/plan"): self.serve_patch,
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
        places = list_document_faults(read_json(call.body))
        if places:
            raise ServiceError("plan_invalid", places=places)
        call.answer_json(200, {"fits": True})

    def serve_show(self, call):
        def done(error, value):
            if error is not None:
                return call.answer_error(error)
            if value is None:
                return call.answer_json(200, {"mark": 0, "put_id": None, "plan": None})
            shown = {name: value[name] for name in SHOWN if name in value}
            shown["plan"] = apply_overlay(value["plan"], overlay_of(value))
            call.answer_json(200, shown)

        self.read_document(done)

    def read_document(self, done):
        """done(error, value) with what a majority of the core holds, its plan and document in it.

        A value whose bodies can't be had is no answer: it is never shown in part."""

        def end(outcome, value):
            if outcome != "chosen":
                return done(
                    ServiceError("core_unready", done="no", retry_us=RETRY_US, why=value), None
                )
            if value is None:
                return done(None, None)
            self.blobs.gather(value, lambda is_held: show(is_held, value))

        def show(is_held, value):
            if not is_held:
                return done(lacking_body(), None)
            self._take_snapshot(value)
            done(None, self.blobs.opened(value))

        self.proposer.read(KEY, end)

    def _take_snapshot(self, value):
        """As soon as its plan is here; who made a change has it, who repeats one may not."""
        if not self.snapshot.is_newer(value):
            return

        def take(is_held):
            if is_held:
                self.snapshot.take(self.blobs.with_plan(value))

        self.blobs.gather(value, take)

    def _sender_of(self, texts):
        """Sends bodies once, whatever the number of rounds, and only those that the value before lacks."""
        unsent = dict(texts)

        def send(value):
            known = digests_of(value)
            self.blobs.send([text for digest, text in unsent.items() if digest not in known])
            unsent.clear()

        return send

    def put_document(self, base, revision, document, plan, done):
        """Put the document of another door in place of the one of revision `base`.

        done(error, taken): `taken` has the mark and the revision that the order got, now or when
        it came before.
        """
        order = DocumentUpdate(base, revision, digest_of_update(document))
        order.document = document
        order.make = lambda held: (document, plan)
        self._order_document(order, done)

    def patch_document(self, base, revision, patch, merge, done):
        """Change the document of revision `base` by the text of a patch.

        `merge(document)` gives the next document and its plan, or raises; the document is None
        where none is in force. done(error, taken): as for `put_document`.
        """
        order = DocumentUpdate(base, revision, digest_of_json(["patch", patch]))
        order.make = merge
        order.needs_blobs = True
        self._order_document(order, done)

    def _order_document(self, order, done, tries=GATHER_TRIES):
        lacking = []

        def step(value):
            if order.is_taken(value):
                return "keep", None
            error = order.refusal(value)
            if error is not None:
                return "stop", error
            if order.needs_blobs and value is not None and not self.blobs.has(value):
                lacking.append(value)
                return "stop", lacking_body()
            return self._ordered(value, order)

        def again(is_held):
            if not is_held or tries <= 1:
                return done(lacking_body(), None)
            self._order_document(order, done, tries - 1)

        def end(outcome, value):
            if outcome == "stopped" and lacking and value.code == "core_unready":
                return self.blobs.gather(lacking[-1], again)
            self._log_outcome(outcome, value, order.base, order.put_id)
            if outcome != "chosen":
                return done(outcome_error(outcome, value, order.put_id), None)
            self._take_snapshot(value)
            taken = find_update(value, order.revision)
            mark = taken.mark if taken is not None else value["mark"]
            done(None, {"mark": mark, "revision": order.revision})

        self.proposer.propose(KEY, step, end)

    def _ordered(self, value, order):
        """Return the step that sets the document that the order makes, its bodies on their way."""
        held = self.blobs.document_of(value) if order.needs_blobs and value else None
        try:
            document, plan = order.make(held)
            decode_configuration(plan)
        except ServiceError as error:
            return "stop", error
        names, texts = name_blobs(plan, document)
        self._sender_of(texts)(value)
        mark = (value["mark"] if value else 0) + 1
        return "set", {
            "mark": mark,
            "put_id": order.put_id,
            "bodies": names,
            "revision": order.revision,
            "overlay": overlay_of(value),
            "taken": extend_history(
                value, CommittedUpdate(mark, order.revision, order.digest, order.revision)
            ),
        }

    def _log_outcome(self, outcome, value, expect, put_id):
        if outcome == "chosen":
            self.node.ports.log(1301, mark=value["mark"], put_id=put_id)
        if outcome == "stopped":
            self.node.ports.log(1302, expect=expect, code=value.code)
        if outcome == "unknown":
            self.node.ports.log(1303, expect=expect, put_id=put_id)

    def serve_put(self, call):
        document = check_document("PlanPut", read_json(call.body))
        decode_configuration(document["plan"])
        self.put(document["expect"], document["put_id"], document["plan"], call)

    def serve_part(self, call, name, part):
        """One group or kind: a change of the whole value, with the expected mark."""
        document = check_document(part.schema, read_json(call.body))

        def edit(value):
            opened = self.blobs.opened(value) if value else {}
            if opened.get("document") is not None:
                overlay = overlay_of(value)
                edited = part.edit_beside(opened["plan"], overlay, name, document)
                return {**opened, "overlay": edited}
            plan = part.edit(opened.get("plan") or {}, name, document)
            decode_configuration(plan)
            return {**opened, "plan": plan}

        self.change(document["expect"], document["put_id"], edit, call, document)

    def serve_patch(self, call):
        """Groups, kinds and pools by name: one change of the plan with the expected mark."""
        document = check_document("PlanPatch", read_json(call.body))
        patch = read_mapping_patch(document)

        def edit(value):
            opened = self.blobs.opened(value) if value else {}
            if opened.get("document") is not None:
                fault = "came as a document; its sender changes it by name"
                raise ServiceError("plan_invalid", places=[{"place": ".", "fault": fault}])
            if not opened:
                raise ServiceError("plan_absent")
            plan = apply_to_mappings(opened["plan"], patch, PATCHED_PARTS)
            decode_configuration(plan)
            return {**opened, "plan": plan}

        self.change(document["expect"], document["put_id"], edit, call, document)

    def put(self, expect, put_id, plan, call):
        """Takes the place of a document, too: what that held is then no longer in force."""

        def edit(value):
            decode_configuration(plan)
            revision = (value or {}).get("revision") or 0
            return {
                "plan": plan,
                "document": None,
                "revision": revision,
                "overlay": overlay_of(None),
            }

        self.change(expect, put_id, edit, call, {"plan": plan}, needs_blobs=False)

    def change(self, expect, put_id, edit, call, ordered, needs_blobs=True, tries=GATHER_TRIES):
        """`edit` makes the next value of the one with the expected mark, plan and document in it.

        `ordered` is what was asked for, by which the order is known when it is sent again. Where the
        bodies of the value that is edited are missing here, they are gathered and it begins anew."""
        digest = digest_of_put(call, ordered)
        lacking = []

        def step(value):
            if is_put_taken(value, put_id, digest):
                return "keep", None
            error = refuse_put(value, expect, put_id)
            if error is not None:
                return "stop", error
            if needs_blobs and value is not None and not self.blobs.has(value):
                lacking.append(value)
                return "stop", lacking_body()
            return self._edited(value, edit, put_id, CommittedUpdate(expect + 1, put_id, digest, 0))

        def again(is_held):
            if not is_held or tries <= 1:
                return call.answer_error(lacking_body())
            self.change(expect, put_id, edit, call, ordered, needs_blobs, tries - 1)

        def done(outcome, value):
            if outcome == "stopped" and lacking and value.code == "core_unready":
                return self.blobs.gather(lacking[-1], again)
            self._log_outcome(outcome, value, expect, put_id)
            if outcome != "chosen":
                return call.answer_error(outcome_error(outcome, value, put_id))
            self._take_snapshot(value)
            taken = find_update(value, put_id)
            mark = taken.mark if taken is not None else value["mark"]
            call.answer_json(200, {"mark": mark, "put_id": put_id})

        self.proposer.propose(KEY, step, done)

    def _edited(self, value, edit, put_id, taken):
        """The step that sets what `edit` makes of the value, with its bodies on their way."""
        try:
            edited = edit(value)
        except ServiceError as error:
            return "stop", error
        names, texts = name_blobs(edited["plan"], edited.get("document"))
        self._sender_of(texts)(value)
        taken.revision = edited.get("revision") or 0
        return "set", {
            "mark": taken.mark,
            "put_id": put_id,
            "bodies": names,
            "revision": taken.revision,
            "overlay": overlay_of(edited),
            "taken": extend_history(value, taken),
        }
