"""The operators' commands, which call a control plane node over HTTP.

Names, options and outputs are a public interface with its own terms: `registry` is a control plane
node, `plan` the configuration, `mark` its version, `seat` a replica.
"""

import uuid
from typing import Any

from cleo.helpers import argument, option

from linkhaven.api import ServiceError
from linkhaven.configuration import diff_documents, list_document_faults
from linkhaven.wire.console import CodedCommand, call_json, read_document

REGISTRY_OPTION = option(
    "registry", "r", "HTTP address of a registry", flag=False, default="127.0.0.1:8001"
)


class OperatorCommand(CodedCommand):
    """A command that calls the node named by `--registry`."""

    def call_node(self, method: str, path: str, document: dict[str, Any] | None = None) -> Any:
        """Call the node and return its answer as JSON; raises the error that the node returns."""
        if document is None:
            return call_json(self.option("registry"), method, path)
        return call_json(self.option("registry"), method, path, document)

    def submit(self, method: str, path: str, document: dict[str, Any]) -> None:
        """Send a change and show its outcome.

        The put id is shown first, so that a change with an unknown outcome can be retried with it.
        """
        self.line_error(f"put id {document['put_id']}")
        self.show(self.call_node(method, path, document))


class PlanCheckCommand(OperatorCommand):
    """Validate a configuration file."""

    name = "plan check"
    description = "Check a plan file without putting it."
    arguments = [argument("file", "the plan as JSON")]

    def act(self) -> None:
        """Validate the file; raises `plan_invalid` with its faults if it has any."""
        places = list_document_faults(read_document(self.argument("file")))
        if places:
            raise ServiceError("plan_invalid", places=places)
        self.line("The plan fits.")


def put_id_of(command: Any) -> str:
    """The put id given by the operator, or a new one."""
    put_id: str = command.option("put-id") or str(uuid.uuid4())
    return put_id


def read_expect(command: Any, least: int) -> int:
    """The version given by `--expect`, at least `least`; raises `bad_request` otherwise."""
    text = command.option("expect")
    if text is None or not text.isdigit() or int(text) < least:
        raise ServiceError(
            "bad_request",
            places=[{"place": "--expect", "fault": "needs the mark that 'plan show' gives"}],
        )
    return int(text)


class PlanPutCommand(OperatorCommand):
    """Replace the configuration in force."""

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

    def act(self) -> None:
        """Send the file and show its new version."""
        document = {
            "expect": read_expect(self, 0),
            "put_id": put_id_of(self),
            "plan": read_document(self.argument("file")),
        }
        self.submit("PUT", "/v1/plan", document)


class PlanPatchCommand(OperatorCommand):
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

    def act(self) -> None:
        """Send the patch and show the new version."""
        document = {
            **read_document(self.argument("file")),
            "expect": read_expect(self, 1),
            "put_id": put_id_of(self),
        }
        self.submit("PATCH", "/v1/plan", document)


class PlanShowCommand(OperatorCommand):
    """Show the configuration in force."""

    name = "plan show"
    description = "Show the plan in force and its mark, read at a majority of the core."
    options = [REGISTRY_OPTION]

    def act(self) -> None:
        """Show the configuration, read from a majority."""
        self.show(self.call_node("GET", "/v1/plan"))


class PlanDiffCommand(OperatorCommand):
    """Compare a file with the configuration in force."""

    name = "plan diff"
    description = "Show what a plan file would change in the plan in force."
    arguments = [argument("file", "the plan as JSON")]
    options = [REGISTRY_OPTION]

    def act(self) -> None:
        """Show what applying the file would change; raises `plan_invalid` if it has faults."""
        wanted = read_document(self.argument("file"))
        places = list_document_faults(wanted)
        if places:
            raise ServiceError("plan_invalid", places=places)
        held = self.call_node("GET", "/v1/plan")
        self.show(
            {"mark": held["mark"], "changes": list(diff_documents(held["plan"] or {}, wanted))}
        )


class PartCommand(OperatorCommand):
    """A command that changes one group or kind of the expected configuration version."""

    def change(self, method: str, part: str, document: dict[str, Any]) -> None:
        """Send a change of the group or kind given by the argument `name`."""
        document = {
            "expect": read_expect(self, 1),
            "put_id": put_id_of(self),
            **document,
        }
        self.submit(method, f"/v1/{part}/{self.argument('name')}", document)


PART_OPTIONS = [
    REGISTRY_OPTION,
    option("expect", "e", "the mark of the plan that is changed", flag=False),
    option("put-id", None, "id of this put, to repeat one whose outcome is unknown", flag=False),
]
NAME_ARGUMENT = argument("name", "its name in the plan")


class GroupListCommand(OperatorCommand):
    """Show the groups and their usage."""

    name = "group list"
    description = (
        "Show the groups: allowance, kinds, "
        "and what each has spent, is waiting for and was refused."
    )
    options = [REGISTRY_OPTION]

    def act(self) -> None:
        """Show the quota and usage of each group."""
        self.show(self.call_node("GET", "/v1/groups"))


class TenantsCommand(OperatorCommand):
    """Show the tenants and their usage."""

    name = "tenants"
    description = (
        "Show the tenants: limit, owner, and what this node granted and denied in a window."
    )
    options = [REGISTRY_OPTION]

    def act(self) -> None:
        """Show each tenant's limit, and its usage if this node owns the tenant's shard."""
        self.show(self.call_node("GET", "/v1/tenants"))


class GroupPutCommand(PartCommand):
    """Create or change a group."""

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

    def act(self) -> None:
        """Send the group; raises `bad_request` if an option isn't a number."""
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
    """Remove a group."""

    name = "group remove"
    description = "Remove a group that no kind is attached to any more."
    arguments = [NAME_ARGUMENT]
    options = PART_OPTIONS

    def act(self) -> None:
        """Send the removal of the group."""
        self.change("DELETE", "groups", {})


class KindPutCommand(PartCommand):
    """Create or change a kind of request."""

    name = "kind put"
    description = "Create or change a kind of request from a JSON file."
    arguments = [NAME_ARGUMENT, argument("file", "the kind as JSON, as it stands in a plan")]
    options = PART_OPTIONS

    def act(self) -> None:
        """Send the kind from the file."""
        self.change("PUT", "kinds", {"kind": read_document(self.argument("file"))})


class KindAttachCommand(PartCommand):
    """Attach a kind to another group."""

    name = "kind attach"
    description = "Attach a kind to another group; its queued work moves to that group's queue."
    arguments = [NAME_ARGUMENT, argument("group", "the group")]
    options = PART_OPTIONS

    def act(self) -> None:
        """Send the kind with its new group; raises `plan_invalid` if the kind doesn't exist."""
        held = self.call_node("GET", "/v1/plan")
        kind = ((held["plan"] or {}).get("kinds") or {}).get(self.argument("name"))
        if kind is None:
            raise ServiceError(
                "plan_invalid",
                places=[{"place": f"kinds/{self.argument('name')}", "fault": "is not in the plan"}],
            )
        self.change("PUT", "kinds", {"kind": {**kind, "group": self.argument("group")}})


class KindRemoveCommand(PartCommand):
    """Remove a kind of request."""

    name = "kind remove"
    description = "Remove a kind; its queued work is refused at once, what runs goes on."
    arguments = [NAME_ARGUMENT]
    options = PART_OPTIONS

    def act(self) -> None:
        """Send the removal of the kind."""
        self.change("DELETE", "kinds", {})


class CoreStatusCommand(OperatorCommand):
    """Show the status of the core."""

    name = "core status"
    description = (
        "Show the core's members, who learns and how far, "
        "which loss could be borne, and the duties."
    )
    options = [REGISTRY_OPTION]

    def act(self) -> None:
        """Show the members, and how many of them may be lost."""
        self.show(self.call_node("GET", "/v1/core"))


class SeatRestoreCommand(OperatorCommand):
    """Let a replica vote that is waiting for lost members."""

    name = "seat restore"
    description = (
        "Let a waiting seat vote with what its disk and the seats that answered hold. "
        "May lose acknowledged plans."
    )
    options = [
        REGISTRY_OPTION,
        option("yes", None, "do it: plans that only the lost seats held are given up"),
    ]

    def act(self) -> None:
        """Send the request to vote; raises `bad_request` without `--yes`."""
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
        self.show(self.call_node("POST", "/v1/core/restore", {}))


class StandingCommand(OperatorCommand):
    """Show a node's view of its peers and of the runners."""

    name = "standing"
    description = "Show what a registry knows of its fellows and the runners."
    options = [REGISTRY_OPTION]

    def act(self) -> None:
        """Show the peers and runners that the node knows."""
        self.show(self.call_node("GET", "/v1/standing"))


OPERATOR_COMMANDS = (
    PlanCheckCommand,
    PlanPutCommand,
    PlanPatchCommand,
    PlanShowCommand,
    PlanDiffCommand,
    GroupListCommand,
    GroupPutCommand,
    GroupRemoveCommand,
    TenantsCommand,
    KindPutCommand,
    KindAttachCommand,
    KindRemoveCommand,
    CoreStatusCommand,
    SeatRestoreCommand,
    StandingCommand,
)
"""All operator commands, in the order of the help output."""
