"""Processor time of a message on both sides, typed and as a map: `python -m linkhaven.stage.line_costs`.

A row tells what json alone took before typed messages, what the same line takes today as a map, and
what it takes as a typed message with its checks; all in microseconds, the least of several rounds.
"""

import json
import timeit

from linkhaven.clockwork import LineReader, Node, write_json, write_line
from linkhaven.registry.messages import Image, Keys, WantKeys

ROUNDS = 7
ROUND_SECONDS = 0.2
ENVELOPE = {"sender": "router-1", "reply_to": "10.1.0.16:7720"}
KEYS_A_PAGE = 500
KINDS = 40


def _sample_plan():
    kinds = {
        f"kind-{number}": {"group": f"group-{number % 8}", "ttft_us": 1_500_000, "one_time": False}
        for number in range(KINDS)
    }
    return {"mark": 17, "put_id": "a/1/1", "plan": {"kinds": kinds, "fleet": {"routers": 7}}}


def _samples():
    keys = [(f"claim/group-1/{number:040x}", f"router-1-{number}") for number in range(KEYS_A_PAGE)]
    return {
        "a small message (want_keys)": WantKeys("core-1/123456/789", 500, **ENVELOPE),
        f"a page of {KEYS_A_PAGE} keys": Keys("core-1/123456/789", 0, keys, False, **ENVELOPE),
        f"a plan of {KINDS} kinds": Image(_sample_plan(), **ENVELOPE),
    }


def _spent_us(deed):
    timer = timeit.Timer(deed)
    once_s = max(1e-7, timer.timeit(20) / 20)
    number = max(1, int(ROUND_SECONDS / once_s))
    return round(min(timer.repeat(ROUNDS, number)) / number * 1e6, 2)


class _Wire:
    """Writes what it is told, and drops it."""

    def tell(self, address, message):
        write_line(message)


def _sender():
    """A node that does nothing but send."""

    class Ports:
        class clock:  # noqa: N801  it stands for the port of that name
            now_us = staticmethod(lambda: 0)

        wire = _Wire()

    return Node(ENVELOPE["sender"], ENVELOPE["reply_to"], Ports())


def measure(message):
    """The times of one message: json before, as a map and typed, sent and read."""
    line = write_line(message)
    document = json.loads(line)
    facts = {name: fact for name, fact in document.items() if name not in ("say", "name", "back")}
    typed, plain, sender = LineReader(), LineReader(), _sender()
    typed.add(type(message))
    say = document["say"]
    return {
        "bytes": len(line),
        "json_write_us": _spent_us(lambda: write_json(document)),
        "map_send_us": _spent_us(lambda: sender.tell("10.1.0.17:7720", say, **facts)),
        "typed_send_us": _spent_us(lambda: sender.send("10.1.0.17:7720", message)),
        "json_read_us": _spent_us(lambda: json.loads(line.decode())),
        "map_read_us": _spent_us(lambda: plain.read(line)),
        "typed_read_us": _spent_us(lambda: typed.read(line)),
    }


def main():
    """Print one line of JSON for each sample."""
    for name, message in _samples().items():
        print(json.dumps({"message": name, **measure(message)}))


if __name__ == "__main__":
    main()
