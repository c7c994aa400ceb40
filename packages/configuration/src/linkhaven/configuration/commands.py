"""The native HTTP commands: show, check, put and patch the configuration, and edit its items.

Each command that changes the configuration becomes one `CommandUpdate`. While an operator's source
text is in force, groups and kinds are edited in the overlay; all else belongs to its sender.
"""

from collections.abc import Callable
from typing import Any, Protocol

from linkhaven.api import ServiceError, check_document
from linkhaven.runtime import read_strict_json

from .command_update import CommandUpdate, MakeContents
from .document_faults import document_invalid_at
from .history import digest_of_json
from .overlay import (
    apply_overlay,
    attach_overlay_kind,
    put_overlay_group,
    remove_overlay_group,
)
from .patch import apply_to_mappings, read_mapping_patch
from .records import (
    EMPTY_SHOWN_RECORD,
    Overlay,
    Record,
    document_of,
    overlay_of,
    revision_of,
    shown_record,
    source_text_of,
)
from .store import CommitResult, ConfigurationStore
from .updates import Contents, RecordReader
from .validation import decode_configuration, list_document_faults

PATCHED_SECTIONS = ("groups", "kinds", "pools", "tenants")
"""The mappings of a document whose items can be patched by name."""

ENVELOPE_FIELDS = ("expect", "put_id")
"""Fields of a command that aren't part of the requested change."""


class Call(Protocol):
    """One HTTP request and its response."""

    method: str
    path: str
    body: bytes

    def answer_json(self, status: int, document: Any) -> None:
        """Respond with a JSON document."""

    def answer_error(self, error: ServiceError) -> None:
        """Respond with an error and its HTTP status."""


class HttpNode(Protocol):
    """The node, with its HTTP handlers by method and path."""

    routes: dict[tuple[str, str], Callable]


EditDocument = Callable[[dict, str, dict], dict]
"""Given the document, the item's name and the command's fields, returns the edited document."""

EditOverlay = Callable[[dict, Overlay, str, dict], Overlay]
"""Given document, overlay, the item's name and the command's fields, returns the edited overlay."""


class ItemCommand:
    """A command on a group or kind: its schema and how it edits a document or an overlay."""

    __slots__ = ("schema", "edit_document", "edit_overlay")

    def __init__(self, schema: str, edit_document: EditDocument, edit_overlay: EditOverlay) -> None:
        """`schema` is the name of the command body's schema in linkhaven.yaml."""
        self.schema = schema
        self.edit_document = edit_document
        self.edit_overlay = edit_overlay


def _with_section(document: dict, section: str, items: dict) -> dict:
    if not document:
        raise ServiceError("plan_absent")
    return {**document, section: items}


def _without_item(document: dict, section: str, name: str) -> dict:
    if name not in document.get(section, {}):
        raise document_invalid_at(f"{section}/{name}", "is not in the plan")
    items = {other: item for other, item in document[section].items() if other != name}
    return _with_section(document, section, items)


def _put_group(document: dict, name: str, fields: dict) -> dict:
    groups = {**document.get("groups", {}), name: fields["group"]}
    return _with_section(document, "groups", groups)


def _put_kind(document: dict, name: str, fields: dict) -> dict:
    return _with_section(document, "kinds", {**document.get("kinds", {}), name: fields["kind"]})


def _remove_group(document: dict, name: str, fields: dict) -> dict:
    """Remove a group.

    The check of the result rejects the removal while a kind is attached to the group, so that no
    queued request is lost unexpectedly.
    """
    return _without_item(document, "groups", name)


def _remove_kind(document: dict, name: str, fields: dict) -> dict:
    return _without_item(document, "kinds", name)


def _put_group_in_overlay(document: dict, overlay: Overlay, name: str, fields: dict) -> Overlay:
    return put_overlay_group(document, overlay, name, fields["group"])


def _remove_group_from_overlay(
    document: dict, overlay: Overlay, name: str, fields: dict
) -> Overlay:
    return remove_overlay_group(document, overlay, name)


def _attach_kind_in_overlay(document: dict, overlay: Overlay, name: str, fields: dict) -> Overlay:
    return attach_overlay_kind(document, overlay, name, fields["kind"])


def _reject_kind_removal(document: dict, overlay: Overlay, name: str, fields: dict) -> Overlay:
    raise document_invalid_at(f"kinds/{name}", "is its document's; its sender removes it")


PUT_GROUP = ItemCommand("GroupPut", _put_group, _put_group_in_overlay)
REMOVE_GROUP = ItemCommand("PartRemove", _remove_group, _remove_group_from_overlay)
PUT_KIND = ItemCommand("KindPut", _put_kind, _attach_kind_in_overlay)
REMOVE_KIND = ItemCommand("PartRemove", _remove_kind, _reject_kind_removal)


def _revised(record: Record, document: dict) -> Contents:
    """Return the contents of an expanded record with another document, and all else unchanged."""
    return Contents(document, source_text_of(record), revision_of(record), overlay_of(record))


def _expanded(record: Record | None, reader: RecordReader) -> Record:
    return reader.expanded(record) if record else {}


class ConfigurationCommands:
    """The HTTP handlers of the native configuration interface, at any controller node."""

    __slots__ = ("store",)

    def __init__(self, node: HttpNode, store: ConfigurationStore) -> None:
        """Register the handlers with the node."""
        self.store = store
        node.routes.update(
            {
                ("GET", "/v1/plan"): self.on_show,
                ("PUT", "/v1/plan"): self.on_put,
                ("PATCH", "/v1/plan"): self.on_patch,
                ("POST", "/v1/plan/check"): self.on_check,
                ("PUT", "/v1/groups/"): self._item_handler(PUT_GROUP),
                ("DELETE", "/v1/groups/"): self._item_handler(REMOVE_GROUP),
                ("PUT", "/v1/kinds/"): self._item_handler(PUT_KIND),
                ("DELETE", "/v1/kinds/"): self._item_handler(REMOVE_KIND),
            }
        )

    def _item_handler(self, command: ItemCommand) -> Callable[[Call, str], None]:
        return lambda call, name: self.on_item_command(call, name, command)

    def on_check(self, call: Call) -> None:
        """Check a document; raises ServiceError `plan_invalid` with all its faults."""
        faults = list_document_faults(read_strict_json(call.body))
        if faults:
            raise ServiceError("plan_invalid", places=faults)
        call.answer_json(200, {"fits": True})

    def on_show(self, call: Call) -> None:
        """Respond with the newest configuration that a majority has accepted."""

        def on_read(error: ServiceError | None, record: Record | None) -> None:
            if error is not None:
                return call.answer_error(error)
            if record is None:
                return call.answer_json(200, EMPTY_SHOWN_RECORD)
            effective = apply_overlay(document_of(record), overlay_of(record))
            call.answer_json(200, shown_record(record, effective))

        self.store.read_record(on_read)

    def on_put(self, call: Call) -> None:
        """Replace the whole document; a source text is no longer in force afterwards."""
        command = check_document("PlanPut", read_strict_json(call.body))
        document = command["plan"]
        decode_configuration(document)

        def make(record: Record | None, reader: RecordReader) -> Contents:
            decode_configuration(document)
            return Contents(document, None, revision_of(record), overlay_of(None))

        self._commit(call, command, make, {"plan": document}, needs_blobs=False)

    def on_patch(self, call: Call) -> None:
        """Change groups, kinds, pools and tenants by name."""
        command = check_document("PlanPatch", read_strict_json(call.body))
        patch = read_mapping_patch(command)

        def make(record: Record | None, reader: RecordReader) -> Contents:
            expanded = _expanded(record, reader)
            if source_text_of(expanded) is not None:
                raise document_invalid_at(".", "came as a document; its sender changes it by name")
            if not expanded:
                raise ServiceError("plan_absent")
            document = apply_to_mappings(document_of(expanded), patch, PATCHED_SECTIONS)
            decode_configuration(document)
            return _revised(expanded, document)

        self._commit(call, command, make, command)

    def on_item_command(self, call: Call, name: str, item: ItemCommand) -> None:
        """Put or remove one group or kind."""
        command = check_document(item.schema, read_strict_json(call.body))

        def make(record: Record | None, reader: RecordReader) -> Contents:
            expanded = _expanded(record, reader)
            if source_text_of(expanded) is not None:
                contents = _revised(expanded, document_of(expanded))
                overlay = overlay_of(record)
                contents.overlay = item.edit_overlay(contents.document, overlay, name, command)
                return contents
            document = item.edit_document(document_of(expanded) if expanded else {}, name, command)
            decode_configuration(document)
            return _revised(expanded, document)

        self._commit(call, command, make, command)

    def _commit(
        self, call: Call, command: dict, make: MakeContents, change: dict, needs_blobs: bool = True
    ) -> None:
        """Commit a command and respond; `change` identifies the command when it is sent again."""
        digest = digest_of_command(call, change)
        update = CommandUpdate(command["expect"], command["put_id"], digest, make, needs_blobs)

        def on_result(error: ServiceError | None, result: CommitResult) -> None:
            if error is not None:
                return call.answer_error(error)
            call.answer_json(200, {"mark": result.version, "put_id": result.key})

        self.store.commit(update, on_result)


def digest_of_command(call: Call, change: dict) -> str:
    """Return the digest of a command's method, path and change, without `ENVELOPE_FIELDS`."""
    fields = {name: change[name] for name in change if name not in ENVELOPE_FIELDS}
    return digest_of_json([call.method, call.path.partition("?")[0], fields])
