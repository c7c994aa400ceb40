import ipaddress
import os

import trafaret as t
import yaml

from linkhaven.schema import Trouble


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


def _limit(least, most):
    def check(value):
        if type(value) is not int or not least <= value <= most:
            return t.DataError(f"is not a whole number from {least} to {most}")
        return value

    return t.Call(check)


ADDRESS = t.Call(_address)
COMMON = {
    t.Key("name"): t.Regexp(r"^[a-z0-9][a-z0-9-]{0,63}$"),
    t.Key("zone"): t.Regexp(r"^[a-z0-9][a-z0-9-]{0,63}$"),
    t.Key("lines"): ADDRESS,
    t.Key("http"): ADDRESS,
    t.Key("seeds"): t.Call(_seeds),
    t.Key("log", default=dict): t.Dict({
        t.Key("level", default="info"): t.Enum("debug", "info", "warning", "error"),
        t.Key("file", optional=True): t.String(),
    }),
    t.Key("body_bytes", default=2_000_000): _limit(1_000, 100_000_000),
    t.Key("conns", default=4_000): _limit(1, 100_000),
}
SETTINGS = {
    "router": t.Dict({**COMMON, t.Key("requests", default=2_000): _limit(1, 100_000)}),
    "registry": t.Dict({
        **COMMON,
        t.Key("data"): t.Call(_folder),
        t.Key("seat"): t.Enum("a", "b", "c"),
        t.Key("platform"): ADDRESS,
    }),
}


def _flatten(fault, place=""):
    if isinstance(fault, t.DataError):
        fault = fault.as_dict()
    if not isinstance(fault, dict):
        return [f"{place or 'settings'}: {fault}"]
    told = []
    for key, inner in fault.items():
        told += _flatten(inner, f"{place}/{key}" if place else str(key))
    return told


def check_settings(program, document):
    try:
        settings = SETTINGS[program].check(document)
    except t.DataError as fault:
        raise Trouble("settings_invalid", places="; ".join(sorted(_flatten(fault)))) from None
    if settings["lines"] == settings["http"]:
        raise Trouble("settings_invalid", places="http: is the same address as lines")
    return settings


def read_settings(path):
    try:
        with open(path, encoding="utf-8") as file:
            document = yaml.safe_load(file)
    except OSError as fault:
        raise Trouble("settings_invalid", places=f"{path}: {fault.strerror}") from None
    except yaml.YAMLError as fault:
        raise Trouble("settings_invalid", places=f"{path}: not YAML or JSON: {' '.join(str(fault).split())}") from None
    if not isinstance(document, dict):
        raise Trouble("settings_invalid", places=f"{path}: is not a mapping of keys")
    return document
