"""Names on the wire, on disk, in the log, in settings and on the command line are compatible.

`recordings/messages.json` was written on an unchanged 6c079fa by
`python tests/test_recorded_messages.py FILE`. It has example lines of every message kind of the
recorded runs, records of the data folder as they are stored, the exchanges of the native
interface, the events with the names of their facts, the errors, the settings keys and the commands
with their options. The tables `ADDED_...`, `OWNED_EVENTS`, `REWORDED_REMEDIES` and
`REWORDED_EVENTS` have all intended differences since.
"""

import ast
import importlib
import json
import pkgutil
import subprocess
import sys
import tomllib
from pathlib import Path
from types import SimpleNamespace

import lmdb
import msgspec
import pytest
import trafaret
from recorded_world import RUNS, TYPED, play, played

import linkhaven
from linkhaven.api import CATALOGUE, EVENTS, read_schema
from linkhaven.controller.storage import LmdbStorage
from linkhaven.platform import names
from linkhaven.platform.settings import NodeSettings
from linkhaven.runtime import LineReader, Message, write_line
from linkhaven.wire import console
from linkhaven.wire.settings import SETTINGS

TESTS = Path(__file__).parent
RECORDINGS = TESTS / "recordings" / "messages.json"
LINES_EACH, RECORDS_EACH = 3, 2
TOUR = "tour"
NODE = "core-a"
ADDED_FIELDS = {"keys": {"routers": []}}
"""Fields that messages have got since, by kind, with their values in messages of members of an
earlier version."""

ADDED_ERRORS = {
    "api_key_missing": [401, "no"],
    "api_key_unknown": [401, "no"],
    "api_key_unconfirmed": [503, "no"],
    "quota_spent": [429, "no"],
    "quota_unknown": [503, "no"],
}
"""Error codes added after the recording, with their status and whether the request has run."""

ADDED_EVENTS: dict = {
    "1008": ["connections unsent_bytes"],
    "1403": ["epoch shard"],
    "1404": ["epoch shard successor"],
    "1405": ["epoch shard"],
    "1903": ["late_us left tenant"],
}
"""Events added after the recording, by number, with the facts of each call that logs them."""

OWNED_EVENTS = {
    "2101": ["** ** kind request shots tokens", "** kind request shots tokens"],
    "2102": ["**", "** code kind request"],
}
"""Events that have the request's tenant since (`Request.owner`), as each call logs them now."""

ADDED_PLATFORM_NAMES = ["api-key", "tenant-id"]
"""Names of the platform that are used since the recording."""

ADDED_PLATFORM_SETTINGS = ["bounds/revocation_strict"]
"""Settings of the platform that are read since the recording: those of strict revocation."""

ADDED_PATHS = {"/v1/tenants": ["get"]}
"""Paths of the native interface added after the recording, with their methods."""

ADDED_OPERATOR_COMMANDS = {
    "tenants": {"arguments": [], "options": {"registry": ["r", True, False, "127.0.0.1:8001"]}}
}
"""Commands of linkhaven-registry added after the recording."""

ADDED_COMMANDS = ["soak-power"]
ADDED_OPTIONS = {"runner": ["trusting"], "soak": ["sabotage"], "soak-node": ["sabotage"]}
"""Commands of linkhaven-stage, and options of its commands, added after the recording."""

REWORDED_REMEDIES = {
    "put_unknown": "No majority answered in time, or too many puts have come since to tell; read "
    "the plan, compare its put id, and put again if it is not yours.",
}
"""Remedies of errors whose text has changed since the recording."""

REWORDED_EVENTS = {
    "1101": "member is up",
    "1102": "member is down: most of its watchers suspect it",
    "1201": "replica recovers without votes",
    "1202": "replica votes",
    "1203": "replica waits for the operator: more was lost than recovery can rebuild",
    "1204": "replica was replaced by a newer instance",
    "1206": "operator restored the replica from its own disk",
    "1207": "first configuration taken from a router's snapshot",
    "1208": "keys claimed before this core began were reported; claims are granted",
    "1209": "node waits as a spare for a vacant replica",
    "1210": "member leaves and hands its replica over to a spare",
    "1301": "configuration committed",
    "1302": "configuration change conflicted",
    "1303": "configuration change ended without a majority",
    "1304": "the blob of a configuration is not the one of its digest; it is refused",
    "1305": "a replica names another blob for the version in force here",
    "1401": "lease won",
    "1402": "lease lapsed",
    "1501": "role order sent",
    "1502": "role order refused",
    "1601": "runner counts as unresponsive",
    "1606": "runner has another role",
    "2001": "configuration applied",
    "2102": "request ended with an error",
    "2104": "further attempt",
}
"""Texts of events that have changed since the recording; their numbers and levels have not."""
PLATFORM_SETTINGS = {
    "node_name": "edge-1",
    "zone": "a",
    "ip_address": "10.0.0.1",
    "bind_addresses": {"frontend": "10.0.0.1:80", "readiness": "10.0.0.1:81"},
    "internal_port_range": [7720, 7735],
    "seed_nodes": ["10.0.0.2:90", "10.0.0.3:90"],
    "bootstrap": False,
    "data_directory": "data",
    "limits": {"disk_mb": 64},
    "cloud_api": {"address": "10.0.0.9:70"},
    "fault_tolerance": {"machines": 2},
    "bounds": {
        "retry_budget_ratio": 0.2,
        "retry_slack": 54,
        "grace_s": 8,
        "lease_ms": 3000,
        "contact_ms": 3000,
        "drain_ms": 3000,
        "config_apply_ms": 2000,
        "thaw_ms": 300,
    },
}
ROOT = Path(__file__).parents[1]
RECORDED = json.loads(RECORDINGS.read_text()) if RECORDINGS.exists() else {}


# Lines and records


def message_types():
    """Return every typed message, by its kind."""
    for found in pkgutil.walk_packages(linkhaven.__path__, "linkhaven."):
        if found.name.endswith(".messages"):
            importlib.import_module(found.name)
    found, left = {}, [Message]
    while left:
        for message_type in left.pop().__subclasses__():
            left.append(message_type)
            if message_type.__module__.startswith("linkhaven."):
                found[message_type.__struct_config__.tag] = message_type
    return found


def shape_of(described):
    """Describe a type as it is on the wire: the names of fields in their order, without names of
    classes. A struct that is written as a list has no field names."""
    if isinstance(described, msgspec.inspect.StructType):
        is_list = described.array_like
        fields = [
            ["" if is_list else field.encode_name, field.required, shape_of(field.type)]
            for field in described.fields
        ]
        return {"fields": fields, "is_list": is_list}
    if isinstance(described, msgspec.inspect.TupleType):
        return {
            "fields": [["", True, shape_of(part)] for part in described.item_types],
            "is_list": True,
        }
    parts = {
        name: shape_of(part)
        for name in ("item_type", "key_type", "value_type")
        if (part := getattr(described, name, None)) is not None
    }
    for name in ("item_types", "types"):
        if hasattr(described, name):
            parts[name] = [shape_of(part) for part in getattr(described, name)]
    return {"type": type(described).__name__, **parts}


def typed_shapes():
    return {
        kind: shape_of(msgspec.inspect.type_info(message_type))
        for kind, message_type in sorted(message_types().items())
    }


def entries_of(runs):
    return [entry.split("\t") for name in runs for entry in play(name)]


def collect_lines():
    found = {}
    for name in RUNS:
        for kind, line in played(name).lines:
            kept = found.setdefault(kind, [])
            if len(kept) < LINES_EACH and line not in kept:
                kept.append(line)
    return dict(sorted(found.items()))


def rewritten(line):
    reader = LineReader()
    for message_type in message_types().values():
        reader.add(message_type)
    return write_line(reader.read(line.encode())).decode()


def collect_records(entries):
    """Return keys and values of the data folder, by the key up to its last slash."""
    found = {}
    for entry in entries:
        if entry[1].startswith("disk/"):
            for key, value in json.loads(entry[-1]).items():
                kept = found.setdefault(key.rpartition("/")[0] or key, {})
                if value is not None and (key in kept or len(kept) < RECORDS_EACH):
                    kept[key] = value
    return dict(sorted(found.items()))


def store(folder, records):
    """Return the exact contents of a data file after these records were written."""
    callbacks = []
    storage = LmdbStorage(str(folder), node=NODE)
    storage.attach(SimpleNamespace(call_in=lambda delay_us, callback: callbacks.append(callback)))
    for kept in records.values():
        if kept:
            storage.write(kept, lambda is_synced: None)
    for callback in callbacks:
        callback()
    storage.close()
    with lmdb.open(str(folder), readonly=True) as env, env.begin() as txn:
        return {bytes(key).decode(): bytes(value).decode() for key, value in txn.cursor()}


def collect_exchanges(entries):
    """Return each call of the tour's operator with all parts of its response."""
    found = []
    for entry in entries:
        kind, contents = entry[1], entry[2:]
        if kind.startswith("call/") and contents[0] == "operator-1":
            found.append({"call": [kind, *contents[1:]], "answer": []})
        elif kind.startswith(("head ", "data/", "end/", "cut/")) and contents[1] == "operator-1":
            found[-1]["answer"].append([kind, *contents[2:]])
    return found


@pytest.fixture(scope="module")
def tour():
    return entries_of([TOUR])


@pytest.mark.parametrize("kind", sorted(RECORDED.get("lines", {})))
def test_a_recorded_line_is_read_and_written_again(kind):
    """Byte for byte, but for kinds that were maps, whose types write fields in another order."""
    is_exact = kind in TYPED or kind not in message_types()
    for line in RECORDED["lines"][kind]:
        if is_exact:
            assert rewritten(line) == line
        else:
            added = ADDED_FIELDS.get(kind, {})
            assert json.loads(rewritten(line)) == {**json.loads(line), **added}


def without_added(kind, shape):
    """Return the shape without the fields added since, which must not be required."""
    added = [field for field in shape["fields"] if field[0] in ADDED_FIELDS.get(kind, {})]
    assert all(not is_required for _, is_required, *_ in added), added
    return {**shape, "fields": [field for field in shape["fields"] if field not in added]}


def test_every_kind_that_was_typed_has_the_recorded_fields_in_their_order():
    shapes = typed_shapes()
    for kind, shape in RECORDED["types"].items():
        assert without_added(kind, shapes[kind]) == shape, kind


def test_every_kind_of_line_has_an_example():
    assert set(RECORDED["types"]) <= set(RECORDED["lines"])


def test_recorded_records_are_stored_byte_for_byte(tmp_path):
    assert store(tmp_path / "data", RECORDED["records"]) == RECORDED["stored"]


def test_every_exchange_of_the_native_interface_is_the_recorded_one(tour):
    exchanges = collect_exchanges(tour)
    for was, now in zip(RECORDED["exchanges"], exchanges, strict=True):
        assert now == was


# Events and errors


def collect_events():
    """Return the facts of each event at every call in the code that logs it by its number, or by a
    name that a module assigns the number to."""
    trees = [
        ast.parse(path.read_text())
        for folder in [*ROOT.glob("packages/*/src/linkhaven"), ROOT / "platform" / "linkhaven"]
        for path in sorted(folder.rglob("*.py"))
        if not {"stage", "simulator"} & set(path.parts)
    ]
    everywhere, found = {}, {}
    for tree in trees:
        everywhere.update(named_events(tree))
    for tree in trees:
        imported = {name: everywhere[name] for name in imported_names(tree) if name in everywhere}
        for node in ast.walk(tree):
            add_event(node, {**imported, **named_events(tree)}, found)
    return {number: sorted(facts) for number, facts in sorted(found.items())}


def imported_names(tree):
    return [
        alias.name
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        for alias in node.names
    ]


def named_events(tree):
    """Return the names that a module assigns event numbers to, alone or as a tuple."""
    found = {}
    for node in tree.body:
        if not isinstance(node, ast.Assign):
            continue
        names_of, values = (getattr(side, "elts", [side]) for side in (node.targets[0], node.value))
        for name, value in zip(names_of, values, strict=False):
            number = getattr(value, "value", None)
            if type(number) is int and number in EVENTS:
                found[getattr(name, "id", None)] = number
    return found


def add_event(node, named, found):
    if not isinstance(node, ast.Call) or not node.args:
        return
    facts = sorted(keyword.arg or "**" for keyword in node.keywords)
    for part in ast.walk(node.args[0]):
        number = getattr(part, "value", named.get(getattr(part, "id", None)))
        if type(number) is int and number in EVENTS:
            found.setdefault(str(number), set()).add(" ".join(facts))


def event_catalogue():
    return {str(number): list(entry) for number, entry in EVENTS.items()}


def error_catalogue():
    return {code: list(entry) for code, entry in CATALOGUE.items()}


def without_additions(found, added):
    """Return the names found without those added since; each of these must have been found."""
    assert set(added) <= set(found), "listed as added, but not there"
    return {name: value for name, value in found.items() if name not in added}


def test_every_event_has_its_number_level_and_text():
    reworded = {
        number: [RECORDED["event_catalogue"][number][0], REWORDED_EVENTS[number]]
        for number in REWORDED_EVENTS
    }
    recorded = {**RECORDED["event_catalogue"], **reworded}
    assert without_additions(event_catalogue(), ADDED_EVENTS) == recorded


def test_every_event_is_logged_with_the_recorded_facts():
    events = collect_events()
    assert without_additions(events, ADDED_EVENTS) == {**RECORDED["events"], **OWNED_EVENTS}
    assert {number: events[number] for number in ADDED_EVENTS} == ADDED_EVENTS


def test_every_error_has_its_code_status_and_text():
    reworded = {
        code: [*RECORDED["errors"][code][:-1], REWORDED_REMEDIES[code]]
        for code in REWORDED_REMEDIES
    }
    errors = error_catalogue()
    assert without_additions(errors, ADDED_ERRORS) == {**RECORDED["errors"], **reworded}
    assert {code: errors[code][:2] for code in ADDED_ERRORS} == ADDED_ERRORS


# The schema, settings and commands


def collect_schema():
    """Return the native interface: paths with their methods, and the properties of documents."""
    schema = read_schema()
    documents = schema["components"]["schemas"]
    return {
        "paths": {path: sorted(of) for path, of in sorted(schema["paths"].items())},
        "documents": {
            name: [sorted(of.get("properties", {})), sorted(of.get("required", []))]
            for name, of in sorted(documents.items())
        },
    }


def keys_of(checked):
    """Return the keys of a settings mapping: default, whether it is optional, keys below it."""
    found = {}
    for key in checked.keys:
        default = key.default() if callable(key.default) else key.default
        nested = key.trafaret
        found[key.name] = [
            default if isinstance(default, str | int | float | dict) else None,
            key.optional,
            keys_of(nested) if isinstance(nested, trafaret.Dict) else None,
        ]
    return found


class Tracked(dict):
    """A mapping that records the path of each key that is read."""

    def __init__(self, document, read, path=""):
        super().__init__(document)
        self.read = read
        self.path = path

    def __getitem__(self, key):
        return self._record(key, super().__getitem__(key))

    def get(self, key, default=None):
        return self._record(key, super().get(key, default))

    def _record(self, key, value):
        path = f"{self.path}{key}"
        self.read.add(path)
        return Tracked(value, self.read, f"{path}/") if isinstance(value, dict) else value


def platform_keys():
    read = set()
    NodeSettings(Tracked(PLATFORM_SETTINGS, read))
    return sorted(read)


def platform_names():
    values = [value for name, value in vars(names).items() if name.isupper()]
    return sorted(
        part for value in values for part in ([value] if isinstance(value, str) else value)
    )


def programs():
    """Return each program's name with the module of its entry point."""
    found = {}
    for path in sorted(TESTS.parent.glob("packages/*/pyproject.toml")):
        found.update(tomllib.loads(path.read_text())["project"].get("scripts", {}))
    return {name: entry.partition(":")[0] for name, entry in found.items()}


def commands_of(monkeypatch, module):
    command_lists = []
    found = importlib.import_module(module)
    monkeypatch.setattr(
        found, "run_application", lambda name, commands: command_lists.append(commands)
    )
    found.main()
    return {command.name: describe_command(command) for command in command_lists[0]}


def describe_command(command):
    definition = command.definition
    return {
        "arguments": [[argument.name, argument.is_required()] for argument in definition.arguments],
        "options": {
            option.name: [option.shortcut, option.accepts_value(), option.is_list(), option.default]
            for option in sorted(definition.options, key=lambda option: option.name)
        },
    }


def collect_commands(monkeypatch):
    return {name: commands_of(monkeypatch, module) for name, module in programs().items()}


def collect_examples():
    """Return the question files that the simulator prints, which have every key of such a file."""
    module = programs()["linkhaven-simulator"]
    code = f"import {module} as program; program.main()"
    examples = {}
    for deployment in ("licensing", "archive"):
        command = [sys.executable, "-c", code, "example", deployment]
        examples[deployment] = subprocess.run(
            command, capture_output=True, check=True, text=True
        ).stdout
    return examples


def exit_codes():
    return [console.DONE, console.REFUSED, console.INVALID, console.UNKNOWN, console.UNREACHABLE]


def test_the_schema_has_its_paths_and_documents():
    schema = collect_schema()
    paths = schema["paths"]
    assert {path: paths[path] for path in ADDED_PATHS} == ADDED_PATHS
    kept = {**schema, "paths": without_additions(paths, ADDED_PATHS)}
    assert kept == RECORDED["schema"]


def test_every_settings_key_is_there_with_its_default():
    assert {name: keys_of(of) for name, of in SETTINGS.items()} == RECORDED["settings"]


def test_the_platforms_settings_and_names_keep_their_spelling():
    assert platform_keys() == sorted([*RECORDED["platform_settings"], *ADDED_PLATFORM_SETTINGS])
    assert platform_names() == sorted([*RECORDED["platform_names"], *ADDED_PLATFORM_NAMES])


def without_added_commands(commands):
    """Return the commands without those, and their options, that were added since."""
    stage = dict(commands["linkhaven-stage"])
    for name in ADDED_COMMANDS:
        del stage[name]
    for name, options in ADDED_OPTIONS.items():
        kept = dict(stage[name]["options"])
        for option in options:
            del kept[option]
        stage[name] = {**stage[name], "options": kept}
    registry = commands["linkhaven-registry"]
    added = {name: registry[name] for name in ADDED_OPERATOR_COMMANDS}
    assert added == ADDED_OPERATOR_COMMANDS
    registry = without_additions(registry, ADDED_OPERATOR_COMMANDS)
    return {**commands, "linkhaven-stage": stage, "linkhaven-registry": registry}


def test_every_command_has_its_arguments_and_options(monkeypatch):
    assert without_added_commands(collect_commands(monkeypatch)) == RECORDED["commands"]


def test_the_simulator_prints_the_recorded_examples():
    assert collect_examples() == RECORDED["examples"]


def test_the_exit_codes_are_the_recorded_ones():
    assert exit_codes() == RECORDED["exit_codes"]


def record(monkeypatch, folder):
    entries = entries_of(RUNS)
    records = collect_records(entries)
    return {
        "lines": collect_lines(),
        "types": typed_shapes(),
        "records": records,
        "stored": store(folder, records),
        "exchanges": collect_exchanges(entries_of([TOUR])),
        "events": collect_events(),
        "event_catalogue": event_catalogue(),
        "errors": error_catalogue(),
        "schema": collect_schema(),
        "settings": {name: keys_of(of) for name, of in SETTINGS.items()},
        "platform_settings": platform_keys(),
        "platform_names": platform_names(),
        "commands": collect_commands(monkeypatch),
        "examples": collect_examples(),
        "exit_codes": exit_codes(),
    }


def main():
    with pytest.MonkeyPatch.context() as monkeypatch:
        recorded = record(monkeypatch, f"{sys.argv[1]}.data")
    Path(sys.argv[1]).write_text(json.dumps(recorded, ensure_ascii=False, indent=1) + "\n")


if __name__ == "__main__":
    main()
