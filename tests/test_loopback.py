import socket

from linkhaven.stage.fleet import LICENSING
from linkhaven.stage.loopback import LoadRun, LoopbackFleet

PORTS = (1, 2, 3, 11, 12, 13, *range(21, 28), *range(41, 48), *range(60, 65), 90)


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
    finally:
        codes = fleet.stop()
    assert told["asked"] > 5
    assert told["served"] == told["asked"]
    assert set(codes.values()) == {0}
