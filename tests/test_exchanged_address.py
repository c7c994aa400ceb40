"""A runner whose address now belongs to another runner is treated as leaving.

The platform may list the former runner for a while longer, and reports from the address come from
the new one.
"""

from linkhaven.controller.runner_discovery import RunnerDiscovery
from linkhaven.runtime import Bounds


class FakeCall:
    def abandon(self):
        pass


class FakeClient:
    def list_runners(self, address, done):
        self.listed = done
        return FakeCall()

    def report(self, address, done):
        return FakeCall()


class HeldLease:
    def is_held(self):
        return True

    def is_holder_suspected(self):
        return False


class FakeObserver:
    def on_runner_list_ready(self):
        pass

    def on_runner_list_outdated(self):
        pass


class FakePorts:
    def log(self, number, **facts):
        pass


class FakeNode:
    def __init__(self):
        self.bounds, self.ports, self.tick_handlers, self.time_us = (
            Bounds(),
            FakePorts(),
            [],
            1_000_000,
        )

    def now_us(self):
        return self.time_us


def entry(name):
    return {
        "name": name,
        "address": "10.0.0.1:8080",
        "zone": "a",
        "incarnation": 1,
        "state": "serving",
        "pool": "p",
        "slots": 4,
        "phase": "decode",
    }


def discovery_after(*lists):
    node, client = FakeNode(), FakeClient()
    runner_discovery = RunnerDiscovery(node, client, "10.0.0.9:1", (HeldLease(),), FakeObserver())
    for names in lists:
        node.time_us += 1_000_000
        runner_discovery.tick(node.time_us)
        client.listed(None, {"runners": [entry(name) for name in names]}, True)
    return runner_discovery


def test_a_runner_whose_address_went_to_another_is_leaving_before_the_list_drops_it():
    runner_discovery = discovery_after(["old"], ["new", "old"])
    assert (
        runner_discovery.runners["old"].is_leaving
        and not runner_discovery.runners["new"].is_leaving
    )


def test_a_first_list_with_two_runners_at_one_address_closes_neither():
    runner_discovery = discovery_after(["new", "old"])
    assert (
        not runner_discovery.runners["old"].is_leaving
        and not runner_discovery.runners["new"].is_leaving
    )
