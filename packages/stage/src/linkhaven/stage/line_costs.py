"""Processor time of a message on both sides, typed and as a map: `python -m
linkhaven.stage.line_costs`.

A row gives the time of json alone, of the same line as an untyped map, and of the typed message
with its checks; all in microseconds, the least of several rounds.
"""

import json
import timeit

from linkhaven.configuration.history import digest_of
from linkhaven.configuration.packing import pack_blob
from linkhaven.controller.messages import ClaimsRequest, ClaimsResponse, ConfigurationResponse
from linkhaven.membership.messages import Heartbeat, MemberList, MemberRecord
from linkhaven.pairing.messages import QueueView, QueueViews
from linkhaven.runtime import LineReader, Node, write_json, write_line

ROUNDS = 7
ROUND_SECONDS = 0.2
ENVELOPE = {"sender": "router-1", "reply_to": "10.1.0.16:7720"}
KEYS_A_PAGE = 500
KINDS = 40
MEMBERS = 100


def _sample_image():
    kinds = {
        f"kind-{number}": {"group": f"group-{number % 8}", "ttft_us": 1_500_000, "one_time": False}
        for number in range(KINDS)
    }
    text = json.dumps({"kinds": kinds, "fleet": {"routers": 7}})
    value = {"mark": 17, "put_id": "a/1/1", "bodies": {"plan": digest_of(text)}}
    return ConfigurationResponse(value, pack_blob(text), **ENVELOPE)


def _member(number):
    address = f"10.1.0.{number}:7720"
    return MemberRecord(
        f"edge-{number}", 1_796_190_863_255_515, address, "router", "z", "", 0, 17, True
    )


def samples():
    """Messages of the sizes that occur in a fleet, by description."""
    keys = [(f"claim/group-1/{number:040x}", f"router-1-{number}") for number in range(KEYS_A_PAGE)]
    view = QueueView("runner-17", 1_796_190_863_255_515, 3, 5_120, 20_480, 9)
    return {
        "a heartbeat (beat)": Heartbeat(_member(1), **ENVELOPE),
        f"a list of {MEMBERS} members": MemberList(
            [_member(n) for n in range(MEMBERS)], **ENVELOPE
        ),
        "one view of a queue (books)": QueueViews([view], **ENVELOPE),
        "a small message (want_keys)": ClaimsRequest("core-1/123456/789", 500, **ENVELOPE),
        f"a page of {KEYS_A_PAGE} keys": ClaimsResponse(
            "core-1/123456/789", 0, keys, False, **ENVELOPE
        ),
        f"a plan of {KINDS} kinds": _sample_image(),
    }


def _spent_us(action):
    """Microseconds of one call, the least of ROUNDS."""
    timer = timeit.Timer(action)
    once_s = max(1e-7, timer.timeit(20) / 20)
    number = max(1, int(ROUND_SECONDS / once_s))
    return round(min(timer.repeat(ROUNDS, number)) / number * 1e6, 2)


class _Network:
    """A network port that encodes what it is given, and drops it."""

    def send(self, address, message):
        write_line(message)


def _sender():
    """A node that only sends."""

    class Ports:
        class clock:  # noqa: N801  it stands for the port of that name
            now_us = staticmethod(lambda: 0)

        network = _Network()

    return Node(ENVELOPE["sender"], ENVELOPE["reply_to"], Ports())


def measure(message):
    """The times of one message: json alone, as a map and typed, both sent and read."""
    line = write_line(message)
    document = json.loads(line)
    facts = {name: fact for name, fact in document.items() if name not in ("say", "name", "back")}
    typed, plain, sender = LineReader(), LineReader(), _sender()
    typed.add(type(message))
    say = document["say"]
    return {
        "bytes": len(line),
        "json_write_us": _spent_us(lambda: write_json(document)),
        "map_send_us": _spent_us(lambda: sender.send_untyped("10.1.0.17:7720", say, **facts)),
        "typed_send_us": _spent_us(lambda: sender.send("10.1.0.17:7720", message)),
        "json_read_us": _spent_us(lambda: json.loads(line.decode())),
        "map_read_us": _spent_us(lambda: plain.read(line)),
        "typed_read_us": _spent_us(lambda: typed.read(line)),
    }


def main():
    """Print one line of JSON for each sample."""
    for name, message in samples().items():
        print(json.dumps({"message": name, **measure(message)}))


if __name__ == "__main__":
    main()
