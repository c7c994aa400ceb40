import uuid

from cleo.helpers import argument, option

from linkhaven.api import ServiceError
from linkhaven.configuration import diff_documents, list_document_faults
from linkhaven.wire import Shell, make_log
from linkhaven.wire.console import (
    PLACE_OPTIONS,
    CodedCommand,
    call_json,
    read_document,
    run_application,
)

from .node import ControllerNode
from .storage import open_storage

REGISTRY_OPTION = option(
    "registry", "r", "HTTP address of a registry", flag=False, default="127.0.0.1:8001"
)
CORE_OPTIONS = [
    *PLACE_OPTIONS,
    option("data", None, "the data folder", flag=False),
    option("seat", None, "the core seat: a, b or c", flag=False),
    option("platform", None, "HTTP address of the platform's list of runners", flag=False),
]


class CoreCommand(CodedCommand):
    options = CORE_OPTIONS

    def read_core(self):
        return self.read_place(
            "registry",
            data=self.option("data"),
            replica_id=self.option("seat"),
            platform=self.option("platform"),
        )


class ServeCommand(CoreCommand):
    name = "serve"
    description = "Run this core seat until SIGTERM."

    def act(self):
        settings = self.read_core()
        log = make_log(settings["name"], **settings["log"])
        disk = open_storage(settings["data"], settings["data_bytes"], settings["name"], log)

        def build(ports, incarnation):
            return ControllerNode(
                settings["name"],
                settings["lines"],
                ports,
                settings["zone"],
                settings["seeds"],
                incarnation,
                settings["seat"],
                settings["platform"],
            )

        try:
            shell = Shell(
                settings["name"],
                settings["lines"],
                settings["http"],
                build,
                disk,
                body_bytes=settings["body_bytes"],
                conns=settings["conns"],
                log=log,
            )
            return shell.run_to_end()
        finally:
            disk.close()


class CheckCommand(CoreCommand):
    name = "check"
    description = "Check the settings without starting."

    def act(self):
        self.show(self.read_core())


class PlanCheckCommand(CodedCommand):
    name = "plan check"
    description = "Check a plan file without putting it."
    arguments = [argument("file", "the plan as JSON")]

    def act(self):
        places = list_document_faults(read_document(self.argument("file")))
        if places:
            raise ServiceError("plan_invalid", places=places)
        self.line("The plan fits.")


def read_expect(command, least):
    text = command.option("expect")
    if text is None or not text.isdigit() or int(text) < least:
        raise ServiceError(
            "bad_request",
            places=[{"place": "--expect", "fault": "needs the mark that 'plan show' gives"}],
        )
    return int(text)


class PlanPutCommand(CodedCommand):
    name = "plan put"
    description = "Put a plan file in the place of the plan with the expected mark."
    arguments = [argument("file", "the plan as JSON")]
    options = [
        REGISTRY_OPTION,
        option(
            "expect",
            "e",
            "the mark of the plan that this one replaces (0 for the first)",
            flag=False,
        ),
        option(
            "put-id", None, "id of this put, to repeat one whose outcome is unknown", flag=False
        ),
    ]

    def act(self):
        document = {
            "expect": read_expect(self, 0),
            "put_id": self.option("put-id") or str(uuid.uuid4()),
            "plan": read_document(self.argument("file")),
        }
        self.line_error(f"put id {document['put_id']}")
        chosen = call_json(self.option("registry"), "PUT", "/v1/plan", document)
        self.show(chosen)


class PlanPatchCommand(CodedCommand):
    """Change groups, kinds and pools by name."""

    name = "plan patch"
    description = "Add, replace and remove groups, kinds and pools by name."
    arguments = [argument("file", "JSON with upserts and removals by part: groups, kinds, pools")]
    options = [
        REGISTRY_OPTION,
        option("expect", "e", "the mark of the plan that is changed", flag=False),
        option(
            "put-id", None, "id of this patch, to repeat one whose outcome is unknown", flag=False
        ),
    ]

    def act(self):
        """Send the patch and show the mark that it got."""
        document = {
            **read_document(self.argument("file")),
            "expect": read_expect(self, 1),
            "put_id": self.option("put-id") or str(uuid.uuid4()),
        }
        self.line_error(f"put id {document['put_id']}")
        self.show(call_json(self.option("registry"), "PATCH", "/v1/plan", document))


class PlanShowCommand(CodedCommand):
    name = "plan show"
    description = "Show the plan in force and its mark, read at a majority of the core."
    options = [REGISTRY_OPTION]

    def act(self):
        self.show(call_json(self.option("registry"), "GET", "/v1/plan"))


class PlanDiffCommand(CodedCommand):
    name = "plan diff"
    description = "Show what a plan file would change in the plan in force."
    arguments = [argument("file", "the plan as JSON")]
    options = [REGISTRY_OPTION]

    def act(self):
        wanted = read_document(self.argument("file"))
        places = list_document_faults(wanted)
        if places:
            raise ServiceError("plan_invalid", places=places)
        held = call_json(self.option("registry"), "GET", "/v1/plan")
        self.show(
            {"mark": held["mark"], "changes": list(diff_documents(held["plan"] or {}, wanted))}
        )


class PartCommand(CodedCommand):
    """One group or kind of the plan, changed under the mark that the operator expects."""

    def change(self, method, part, document):
        document = {
            "expect": read_expect(self, 1),
            "put_id": self.option("put-id") or str(uuid.uuid4()),
            **document,
        }
        self.line_error(f"put id {document['put_id']}")
        self.show(
            call_json(
                self.option("registry"), method, f"/v1/{part}/{self.argument('name')}", document
            )
        )


PART_OPTIONS = [
    REGISTRY_OPTION,
    option("expect", "e", "the mark of the plan that is changed", flag=False),
    option("put-id", None, "id of this put, to repeat one whose outcome is unknown", flag=False),
]
NAME_ARGUMENT = argument("name", "its name in the plan")


class GroupListCommand(CodedCommand):
    name = "group list"
    description = "Show the groups: allowance, kinds, and what each has spent, is waiting for and was refused."
    options = [REGISTRY_OPTION]

    def act(self):
        self.show(call_json(self.option("registry"), "GET", "/v1/groups"))


class GroupPutCommand(PartCommand):
    name = "group put"
    description = "Create or change a group, with its credit allowance or without one."
    arguments = [NAME_ARGUMENT]
    options = [
        *PART_OPTIONS,
        option(
            "tokens",
            None,
            "tokens of credit in a period; without it the group isn't capped",
            flag=False,
        ),
        option("period-ms", None, "the period", flag=False, default="10000"),
        option("weight", None, "its weight where groups with credit meet", flag=False, default="1"),
    ]

    def act(self):
        is_capped = self.option("tokens") is not None
        fields = {
            name: self.option(name) or ""
            for name in (*(["tokens"] if is_capped else []), "period-ms", "weight")
        }
        wrong = [
            name
            for name, text in fields.items()
            if not text.replace(".", "", name == "weight").isdigit()
        ]
        if wrong:
            raise ServiceError(
                "bad_request",
                places=[{"place": f"--{name}", "fault": "is not a number"} for name in wrong],
            )
        credit = (
            {"tokens": int(fields["tokens"]), "period_us": int(fields["period-ms"]) * 1_000}
            if is_capped
            else None
        )
        self.change(
            "PUT", "groups", {"group": {"credit": credit, "weight": float(fields["weight"])}}
        )


class GroupRemoveCommand(PartCommand):
    name = "group remove"
    description = "Remove a group that no kind is attached to any more."
    arguments = [NAME_ARGUMENT]
    options = PART_OPTIONS

    def act(self):
        self.change("DELETE", "groups", {})


class KindPutCommand(PartCommand):
    name = "kind put"
    description = "Create or change a kind of request from a JSON file."
    arguments = [NAME_ARGUMENT, argument("file", "the kind as JSON, as it stands in a plan")]
    options = PART_OPTIONS

    def act(self):
        self.change("PUT", "kinds", {"kind": read_document(self.argument("file"))})


class KindAttachCommand(PartCommand):
    name = "kind attach"
    description = "Attach a kind to another group; its queued work moves to that group's queue."
    arguments = [NAME_ARGUMENT, argument("group", "the group")]
    options = PART_OPTIONS

    def act(self):
        held = call_json(self.option("registry"), "GET", "/v1/plan")
        kind = ((held["plan"] or {}).get("kinds") or {}).get(self.argument("name"))
        if kind is None:
            raise ServiceError(
                "plan_invalid",
                places=[{"place": f"kinds/{self.argument('name')}", "fault": "is not in the plan"}],
            )
        self.change("PUT", "kinds", {"kind": {**kind, "group": self.argument("group")}})


class KindRemoveCommand(PartCommand):
    name = "kind remove"
    description = "Remove a kind; its queued work is refused at once, what runs goes on."
    arguments = [NAME_ARGUMENT]
    options = PART_OPTIONS

    def act(self):
        self.change("DELETE", "kinds", {})


class CoreStatusCommand(CodedCommand):
    name = "core status"
    description = "Show the core's members, who learns and how far, which loss could be borne, and the duties."
    options = [REGISTRY_OPTION]

    def act(self):
        self.show(call_json(self.option("registry"), "GET", "/v1/core"))


class SeatRestoreCommand(CodedCommand):
    name = "seat restore"
    description = "Let a waiting seat vote with what its disk and the seats that answered hold. May lose acknowledged plans."
    options = [
        REGISTRY_OPTION,
        option("yes", None, "do it: plans that only the lost seats held are given up"),
    ]

    def act(self):
        if not self.option("yes"):
            raise ServiceError(
                "bad_request",
                places=[
                    {
                        "place": "--yes",
                        "fault": "is needed: plans that only the lost seats held are given up",
                    }
                ],
            )
        self.show(call_json(self.option("registry"), "POST", "/v1/core/restore", {}))


class StandingCommand(CodedCommand):
    name = "standing"
    description = "Show what a registry knows of its fellows and the runners."
    options = [REGISTRY_OPTION]

    def act(self):
        self.show(call_json(self.option("registry"), "GET", "/v1/standing"))


def main():
    run_application(
        "linkhaven-registry",
        [
            ServeCommand(),
            CheckCommand(),
            PlanCheckCommand(),
            PlanPutCommand(),
            PlanPatchCommand(),
            PlanShowCommand(),
            PlanDiffCommand(),
            GroupListCommand(),
            GroupPutCommand(),
            GroupRemoveCommand(),
            KindPutCommand(),
            KindAttachCommand(),
            KindRemoveCommand(),
            CoreStatusCommand(),
            SeatRestoreCommand(),
            StandingCommand(),
        ],
    )
