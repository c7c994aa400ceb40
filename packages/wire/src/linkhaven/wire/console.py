"""Shared parts of the command-line programs: options, errors, exit codes, calls to a process."""

import http.client
import json
import sys
from collections.abc import Sequence
from typing import Any, NoReturn

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import option

from linkhaven.api import ServiceError, read_error

from .settings import check_settings, read_settings, split_address

DONE, REFUSED, INVALID, UNKNOWN, UNREACHABLE = 0, 1, 2, 3, 4
"""Exit codes: done; refused, so nothing was done; invalid settings or arguments; unknown whether
it was done; the process is unreachable."""

TIMEOUT_S = 10
"""Time-out in seconds of a call to a process."""

VERSION = "0.1.0"

SETTINGS_OPTIONS = [
    option("settings", "s", "settings file (YAML or JSON)", flag=False),
    option("name", None, "this process's name", flag=False),
    option("zone", None, "the zone it stands in", flag=False),
    option("lines", None, "IP number and port for its line_clients", flag=False),
    option("http", None, "IP number and port for HTTP", flag=False),
    option(
        "seed",
        None,
        "a seed: the lines address of another process (give three)",
        flag=False,
        multiple=True,
    ),
    option("log-level", None, "debug, info, warning or error", flag=False),
    option("log-file", None, "write the log there instead of to standard error", flag=False),
]
"""Command-line options that override settings."""


def call_json(address: str, method: str, path: str, document: Any = None) -> Any:
    """Call a process's HTTP API and return the JSON it responds with.

    Raises the ServiceError that the process responds with, or `unreachable`, whose `done` is "no"
    only if nothing was sent.
    """
    host, port = split_address(address)
    conn = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        body = json.dumps(document) if document is not None else None
        conn.request(method, path, body, {"content-type": "application/json"})
        response = conn.getresponse()
        result = json.loads(response.read() or b"null")
    except ConnectionRefusedError:
        raise ServiceError("unreachable", address=address) from None
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise ServiceError("unreachable", done="unknown", address=address, why=str(error)) from None
    finally:
        conn.close()
    if response.status != http.client.OK:
        raise read_error(result, "unreachable")
    return result


def exit_code_of(error: ServiceError) -> int:
    """The exit code for an error."""
    if error.code in ("settings_invalid", "address_taken"):
        return INVALID
    if error.done == "unknown":
        return UNKNOWN
    return UNREACHABLE if error.code == "unreachable" else REFUSED


class CodedCommand(Command):
    """Base class of commands; prints a ServiceError with its code and maps it to an exit code."""

    def handle(self) -> int:
        """Run `act`; returns the exit code."""
        try:
            return self.act() or DONE
        except ServiceError as error:
            self.line_error(f"<error>{error.code}</error> (done: {error.done}): {error.remedy}")
            self._show_detail(error.detail)
            return exit_code_of(error)

    def act(self) -> Any:
        """Perform the command; returns an exit code, or None for `DONE`."""
        raise NotImplementedError

    def _show_detail(self, detail: dict[str, Any]) -> None:
        for name, value in detail.items():
            if isinstance(value, list):
                for place in value:
                    self.line_error(f"  {place['place']}: {place['fault']}")
            else:
                self.line_error(f"  {name}: {value}")

    def show(self, document: Any) -> None:
        """Print a document as JSON."""
        self.line(json.dumps(document, indent=2, ensure_ascii=False))

    def read_node_settings(self, program: str, **more: Any) -> dict[str, Any]:
        """Read the settings file, apply the command-line options and validate the result.

        `more` holds further settings from options; empty values are ignored. Raises ServiceError
        `settings_invalid`.
        """
        document = read_settings(self.option("settings")) if self.option("settings") else {}
        for key in ("name", "zone", "lines", "http"):
            if self.option(key):
                document[key] = self.option(key)
        if self.option("seed"):
            document["seeds"] = list(self.option("seed"))
        log = dict(document.get("log") or {})
        if self.option("log-level"):
            log["level"] = self.option("log-level")
        if self.option("log-file"):
            log["file"] = self.option("log-file")
        if log:
            document["log"] = log
        for key, value in more.items():
            if value:
                document[key] = value
        return check_settings(program, document)


def read_document(path: str) -> Any:
    """Read a JSON file; raises ServiceError `bad_request` if it can't be read or parsed."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        raise ServiceError(
            "bad_request", places=[{"place": path, "fault": error.strerror}]
        ) from None
    try:
        return json.loads(text)
    except ValueError as error:
        raise ServiceError(
            "bad_request", places=[{"place": path, "fault": f"not JSON: {error}"}]
        ) from None


def run_application(name: str, commands: Sequence[Command]) -> NoReturn:
    """Run the command-line program and exit with its code."""
    application = Application(name, VERSION)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in commands:
        application.add(command)
    try:
        code = application.run()
    except CleoError as error:
        print(error, file=sys.stderr)
        code = INVALID
    sys.exit(code)
