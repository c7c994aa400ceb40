import ipaddress
import os

import trafaret as t
import yaml

from linkhaven.api import ServiceError
from linkhaven.api.fields import NAME, list_places, whole

from .log_writer import QUEUE_LINES


def split_address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


def _address(value):
    if not isinstance(value, str) or ":" not in value:
        return t.DataError("is not an IP number and port like 10.0.0.1:7000")
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return t.DataError("is not an IP number (host names are not looked up)")
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= 65_535:
        return t.DataError("has no port from 1 to 65535")
    return value


def _seeds(value):
    if not isinstance(value, list) or len(value) != 3:
        return t.DataError("must be a list of three addresses of other processes")
    for place, seed in enumerate(value):
        checked = _address(seed)
        if isinstance(checked, t.DataError):
            return t.DataError({place: checked})
    if len(set(value)) != 3:
        return t.DataError("names one address twice")
    return value


def _folder(value):
    if not isinstance(value, str) or not value:
        return t.DataError("is not a folder")
    parent = os.path.dirname(os.path.abspath(value))
    if not os.path.isdir(value) and not os.path.isdir(parent):
        return t.DataError(f"does not exist and neither does {parent}")
    if os.path.exists(value) and not os.path.isdir(value):
        return t.DataError("is a file")
    return value


def _log_file(value):
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
            t.Key("queue_lines", default=QUEUE_LINES): whole(16, 1_000_000),
        }
    ),
    t.Key("body_bytes", default=2_000_000): whole(1_000, 100_000_000),
    t.Key("conns", default=4_000): whole(1, 100_000),
}
SETTINGS = {
    "router": t.Dict(
        {
            **COMMON,
            t.Key("requests", default=2_000): whole(1, 100_000),
            t.Key("traces", optional=True): t.String(),
        }
    ),
    "registry": t.Dict(
        {
            **COMMON,
            t.Key("data"): t.Call(_folder),
            t.Key("data_bytes", default=1 << 30): whole(65_536, 1 << 40),
            t.Key("seat"): t.Enum("a", "b", "c"),
            t.Key("platform"): ADDRESS,
        }
    ),
}


def misfit(place, fault):
    return ServiceError("settings_invalid", places=[{"place": place, "fault": fault}])


def check_settings(program, document):
    try:
        settings = SETTINGS[program].check(document)
    except t.DataError as fault:
        raise ServiceError(
            "settings_invalid", places=sorted(list_places(fault), key=lambda place: place["place"])
        ) from None
    if settings["lines"] == settings["http"]:
        raise misfit("http", "is the same address as lines")
    return settings


def read_settings(path):
    try:
        with open(path, encoding="utf-8") as file:
            document = yaml.safe_load(file)
    except OSError as fault:
        raise misfit(path, fault.strerror) from None
    except yaml.YAMLError as fault:
        raise misfit(path, f"not YAML or JSON: {' '.join(str(fault).split())}") from None
    if not isinstance(document, dict):
        raise misfit(path, "is not a mapping of keys")
    return document
