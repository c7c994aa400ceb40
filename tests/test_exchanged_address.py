from linkhaven.controller.runner_discovery import RunnerDiscovery
from linkhaven.runtime import Bounds


class Part:
    def abandon(self):
        pass


class Desk:
    def list_runners(self, address, done):
        self.listed = done
        return Part()

    def report(self, address, done):
        return Part()


class Duty:
    def is_held(self):
        return True

    def is_holder_suspected(self):
        return False


class Observer:
    def on_runner_list_ready(self):
        pass

    def on_runner_list_outdated(self):
        pass


class Ports:
    def log(self, number, **facts):
        pass


class Node:
    def __init__(self):
        self.bounds, self.ports, self.systems, self.us = Bounds(), Ports(), [], 1_000_000

    def now_us(self):
        return self.us


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


def listing(*rounds):
    node, desk = Node(), Desk()
    runner_discovery = RunnerDiscovery(node, desk, "10.0.0.9:1", (Duty(),), Observer())
    for names in rounds:
        node.us += 1_000_000
        runner_discovery.tick(node.us)
        desk.listed(None, {"runners": [entry(name) for name in names]}, True)
    return runner_discovery


def test_a_runner_whose_address_went_to_another_is_leaving_before_the_list_drops_it():
    runner_discovery = listing(["old"], ["new", "old"])
    assert (
        runner_discovery.runners["old"].is_leaving
        and not runner_discovery.runners["new"].is_leaving
    )


def test_a_first_list_with_both_closes_neither():
    runner_discovery = listing(["new", "old"])
    assert (
        not runner_discovery.runners["old"].is_leaving
        and not runner_discovery.runners["new"].is_leaving
    )
