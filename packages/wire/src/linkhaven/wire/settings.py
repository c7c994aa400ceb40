"""The settings of both programs: a YAML or JSON file, fully validated before startup.

docs/operators.md describes the settings for operators.
"""

import ipaddress
import os
from typing import Any

import trafaret as t
import yaml

from linkhaven.api import ServiceError
from linkhaven.api.fields import NAME, flatten_faults, integer

from .log_writer import QUEUE_LINES

SEEDS = 3
"""Number of seed addresses a process needs so that they include a majority of the core."""

LAST_PORT = 65_535

BODY_BYTES = 2_000_000
CONNECTIONS = 4_000
REQUESTS = 2_000
DATA_BYTES = 1 << 30
"""Default values of optional settings."""


def split_address(text: str) -> tuple[str, int]:
    """Split an address of the form host:port into host and port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def _address(value: Any) -> Any:
    if not isinstance(value, str) or ":" not in value:
        return t.DataError("is not an IP number and port like 10.0.0.1:7000")
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return t.DataError("is not an IP number (host names are not looked up)")
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= LAST_PORT:
        return t.DataError("has no port from 1 to 65535")
    return value


def _seeds(value: Any) -> Any:
    if not isinstance(value, list) or len(value) != SEEDS:
        return t.DataError("must be a list of three addresses of other processes")
    for place, seed in enumerate(value):
        checked = _address(seed)
        if isinstance(checked, t.DataError):
            return t.DataError({place: checked})
    if len(set(value)) != SEEDS:
        return t.DataError("names one address twice")
    return value


def _folder(value: Any) -> Any:
    if not isinstance(value, str) or not value:
        return t.DataError("is not a folder")
    parent = os.path.dirname(os.path.abspath(value))
    if not os.path.isdir(value) and not os.path.isdir(parent):
        return t.DataError(f"does not exist and neither does {parent}")
    if os.path.exists(value) and not os.path.isdir(value):
        return t.DataError("is a file")
    return value


def _log_file(value: Any) -> Any:
    if not isinstance(value, str) or not value:
        return t.DataError("is not a file")
    if os.path.isdir(value):
        return t.DataError("is a folder")
    parent = os.path.dirname(os.path.abspath(value))
    if not os.path.isdir(parent):
        return t.DataError(f"cannot be made: {parent} is not a folder")
    return value


ADDRESS = t.Call(_address)

COMMON = {
    t.Key("name"): NAME,
    t.Key("zone"): NAME,
    t.Key("lines"): ADDRESS,
    t.Key("http"): ADDRESS,
    t.Key("seeds"): t.Call(_seeds),
    t.Key("log", default=dict): t.Dict(
        {
            t.Key("level", default="info"): t.Enum("debug", "info", "warning", "error"),
            t.Key("file", optional=True): t.Call(_log_file),
            t.Key("queue_lines", default=QUEUE_LINES): integer(16, 1_000_000),
        }
    ),
    t.Key("body_bytes", default=BODY_BYTES): integer(1_000, 100_000_000),
    t.Key("conns", default=CONNECTIONS): integer(1, 100_000),
}
"""Settings shared by both programs."""

SETTINGS = {
    "router": t.Dict(
        {
            **COMMON,
            t.Key("requests", default=REQUESTS): integer(1, 100_000),
            t.Key("traces", optional=True): t.String(),
        }
    ),
    "registry": t.Dict(
        {
            **COMMON,
            t.Key("data"): t.Call(_folder),
            t.Key("data_bytes", default=DATA_BYTES): integer(65_536, 1 << 40),
            t.Key("seat"): t.Enum("a", "b", "c"),
            t.Key("platform"): ADDRESS,
        }
    ),
}
"""Schema of each program's settings, by program name."""


def invalid_setting(place: str, fault: str | None) -> ServiceError:
    """Return, for the caller to raise, the error for one invalid setting."""
    return ServiceError("settings_invalid", places=[{"place": place, "fault": fault}])


def check_settings(program: str, document: Any) -> dict[str, Any]:
    """Validate settings and fill in defaults.

    Raises ServiceError `settings_invalid` that lists all invalid settings.
    """
    try:
        settings: dict[str, Any] = SETTINGS[program].check(document)
    except t.DataError as error:
        raise ServiceError(
            "settings_invalid",
            places=sorted(flatten_faults(error), key=lambda place: place["place"]),
        ) from None
    if settings["lines"] == settings["http"]:
        raise invalid_setting("http", "is the same address as lines")
    return settings


def read_settings(path: str) -> dict[str, Any]:
    """Read the mapping in a YAML or JSON file, without validating its settings.

    Raises ServiceError `settings_invalid` if the file can't be read or parsed.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = yaml.safe_load(file)
    except OSError as error:
        raise invalid_setting(path, error.strerror) from None
    except yaml.YAMLError as error:
        raise invalid_setting(path, f"not YAML or JSON: {' '.join(str(error).split())}") from None
    if not isinstance(document, dict):
        raise invalid_setting(path, "is not a mapping of keys")
    return document
