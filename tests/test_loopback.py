import http.client
import json
import socket

from linkhaven.stage.fleet import LICENSING
from linkhaven.stage.loopback import LoadRun, LoopbackFleet
from linkhaven.wire.console import call_json
from linkhaven.wire.settings import split_address

PORTS = (1, 2, 3, 11, 12, 13, *range(21, 28), *range(41, 48), *range(60, 65), 90)


QUESTION = b'{"kind": "seat-question", "prompt": "x"}'
MISUSES = [
    ((b'{"kind": "seat-question"', {}), (400, "bad_request")),
    ((b"\xff\xfe", {}), (400, "bad_request")),
    ((b'{"kind": "seat-question", "prompt": "x", "more": 1}', {}), (400, "bad_request")),
    ((b'{"kind": "nothing", "prompt": "x"}', {}), (422, "unknown_kind")),
    ((b'{"kind": "seat-question", "prompt": "' + b"x" * 100_000 + b'"}', {}), (422, "prompt_too_long")),
    ((b'{"kind": "seat-question", "prompt": "' + b"x" * 3_000_000 + b'"}', {}), (413, "too_large")),
    ((QUESTION, {"last-event-id": "nonsense"}), (400, "bad_resume")),
    ((QUESTION, {"last-event-id": "no-such-run:3"}), (409, "run_unknown")),
    ((b'{"kind": "entitlement-check", "prompt": "x"}', {"last-event-id": "run:3"}), (409, "not_resumable")),
]


def post(address, body, headers):
    host, port = split_address(address)
    conn = http.client.HTTPConnection(host, port, timeout=20)
    try:
        conn.request("POST", "/v1/requests", body, headers)
    except (BrokenPipeError, ConnectionResetError):
        pass
    answer = conn.getresponse()
    told = json.loads(answer.read())
    conn.close()
    return answer.status, told["code"]


def ask_once(address):
    host, port = split_address(address)
    conn = http.client.HTTPConnection(host, port, timeout=20)
    conn.request("POST", "/v1/requests", QUESTION)
    answer = conn.getresponse()
    assert b"event: done" in answer.read()
    conn.close()
    return answer.getheader("request-id")


def is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def find_ports():
    return next(base for base in range(21_000, 60_000, 100) if all(is_free(base + place) for place in PORTS))


def test_the_whole_fleet_serves_on_real_sockets_and_stops_cleanly(tmp_path):
    fleet = LoopbackFleet(LICENSING, str(tmp_path), find_ports())
    try:
        fleet.start()
        fleet.put_plan(LICENSING.plan(), 0)
        fleet.wait_ready()
        told = LoadRun(LICENSING, fleet.routers.values(), 5, 3, seed=1).run()
        codes_of_misuse = [post(fleet.routers["edge-1"], *misuse) for misuse, _ in MISUSES]
        explained = call_json(fleet.routers["edge-1"], "GET", f"/v1/explain/{ask_once(fleet.routers['edge-1'])}")
    finally:
        codes = fleet.stop()
    assert told["asked"] > 5
    assert told["served"] == told["asked"]
    assert set(codes.values()) == {0}
    assert codes_of_misuse == [code for _, code in MISUSES]
    assert explained["decisions"][0]["winner"]
    assert explained["outcome"] == "done"
