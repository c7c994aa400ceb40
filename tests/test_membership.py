"""Random courses of losses, replacements and departures, never more lost at once than is borne.

`MEMBERSHIP_SEEDS=200 pytest tests/test_membership.py` runs a wider set of seeds by hand."""

import os

import pytest

from linkhaven.stage.core import SimCore

SECOND = 1_000_000
STEP = 10_000
SEEDS = int(os.environ.get("MEMBERSHIP_SEEDS", "12"))
SILENT_AT_MOST_US = 5 * SECOND
FAULT = 1005
PLAN = {
    "groups": {"g": {}},
    "kinds": {"k": {"group": "g", "ttft_us": 1, "tpot_us": 1, "deadline_us": 9}},
}


class Course:
    """One core, its orders, and the faults that meet it."""

    def __init__(self, seed, seats):
        self.core = SimCore(seed * 7 + seats, seats=seats).bootstrap(3, seats - 3)
        self.world = self.core.world
        self.dice = self.world.dice
        self.seats = seats
        self.serial = 0
        self.acked = 0
        self.tried = 0
        self.acked_us = 0
        self.cut = None
        self.log = []
        self.leaving = set()
        self.gone_addresses = []
        assert self.core.wait_voting(seats, 10 * SECOND)
        self.add()

    def note(self, *what):
        self.log.append((self.world.now_us, *what))

    def add(self):
        """A new machine, at times at the address of one that is gone."""
        self.serial += 1
        name = f"new-{self.serial}"
        address = None
        if self.gone_addresses and self.dice.random() < 0.4:
            address = self.gone_addresses.pop()
        host = self.core.add(name, address or f"10.0.1.{self.serial}:7000")
        host.start()
        self.note("add", name, host.address)

    def occupants(self):
        """Seat, incarnation and name of each that holds itself for voting."""
        return [
            (host.node.replica.replica_id, host.node.replica.incarnation, name)
            for name, host in self.core.machines.items()
            if host.node and not host.is_frozen and host.node.replica.is_voting
        ]

    def voters(self):
        """The newest occupant of each seat that can be reached."""
        newest = {seat: (incarnation, name) for seat, incarnation, name in sorted(self.occupants())}
        return [(seat, name) for seat, (_, name) in newest.items() if name != self.cut]

    def fit(self):
        """Members that vote, can be reached and aren't on their way out."""
        return [name for _, name in self.voters() if name not in self.leaving]

    def spares(self):
        return [
            name
            for name, host in self.core.machines.items()
            if host.node and host.node.replica.state == "spare" and name not in self.leaving
        ]

    def may_lose_one(self):
        return len({seat for seat, _ in self.voters()}) > self.seats // 2 + 1 and (
            len(self.fit()) > self.seats // 2 + 1
        )

    def inject_fault(self):
        deeds = [self.kill_for_good, self.restart, self.wipe, self.freeze, self.cut_off]
        if len(self.spares()) < 2:
            deeds = [self.add, self.add, *deeds]
        if self.spares():
            deeds += [self.leave, self.leave]
        deed = self.dice.choice(deeds)
        is_planned = deed == self.leave and self.fit() and not self.leaving
        if deed != self.add and not is_planned and not self.may_lose_one():
            return
        deed()

    def pick(self):
        return self.core.machines[self.dice.choice(self.fit())]

    def kill_for_good(self):
        host = self.pick()
        host.kill()
        self.note("lost", host.name)
        self.gone_addresses.append(host.address)
        del self.core.machines[host.name]

    def restart(self):
        host = self.pick()
        host.kill()
        self.note("killed", host.name)
        self.world.after(self.dice.randrange(3 * SECOND), lambda: self.start(host))

    def start(self, host):
        if host.node is None and self.world.hosts[host.address] is host:
            host.start()
            self.note("start", host.name)

    def wipe(self):
        host = self.pick()
        host.kill()
        host.disk.wipe()
        self.note("wiped", host.name)
        self.world.after(self.dice.randrange(2 * SECOND), lambda: self.start(host))

    def freeze(self):
        host = self.pick()
        host.freeze()
        self.note("frozen", host.name)
        self.world.after(self.dice.randrange(4 * SECOND), host.wake)

    def cut_off(self):
        if self.cut is not None:
            return
        host = self.pick()
        self.cut = host.name
        others = [name for name in self.core.machines if name != host.name]
        way = self.dice.randrange(3)
        if way != 1:
            self.world.cut([host.name], others, both=False)
        if way != 2:
            self.world.cut(others, [host.name], both=False)
        self.note("cut", host.name, way)
        self.world.after(self.dice.randrange(20 * SECOND), self.heal)

    def heal(self):
        self.note("heal", self.cut)
        self.cut = None
        self.world.heal()

    def leave(self):
        host = self.pick()
        epoch = host.epoch
        self.leaving.add(host.name)
        comes_back = self.dice.random() < 0.5
        self.note("leave", host.name, comes_back)

        def end():
            if host.epoch != epoch:
                return
            host.kill()
            self.note("left", host.name)
            self.leaving.discard(host.name)
            if comes_back:
                self.world.after(SECOND, lambda: self.start(host))
            else:
                self.core.machines.pop(host.name, None)
                self.gone_addresses.append(host.address)

        host.node.drain(lambda: self.world.after(200_000, end))

    def order(self):
        """One order after another; after an unclear answer the operator reads first."""
        names = [name for name in self.fit() if self.core.machines[name].node]
        if not names:
            return
        name = self.dice.choice(names)
        told = []
        self.tried += 1
        base, revision = self.acked, self.tried
        self.core.machines[name].node.configuration_store.put_document(
            base, revision, f"text {revision}", PLAN, lambda *answer: told.append(answer)
        )
        self.run(lambda: told, 3 * SECOND)
        if told and told[0][0] is None:
            return self.ack(told[0][1].key)
        seen = []
        host = self.core.machines.get(name)
        if host is None or host.node is None:
            return
        host.node.configuration_store.read_record(lambda *answer: seen.append(answer))
        self.run(lambda: seen, 3 * SECOND)
        if seen and seen[0][0] is None and seen[0][1]:
            assert seen[0][1]["revision"] >= self.acked, self.log
            self.ack(seen[0][1]["revision"])

    def ack(self, revision):
        assert revision >= self.acked, self.log
        self.acked = revision
        self.acked_us = self.world.now_us

    def run(self, until, most_us):
        end_us = self.world.now_us + most_us
        while self.world.now_us < end_us and not until():
            self.world.run_for(STEP)
            epochs = [(seat, incarnation) for seat, incarnation, _ in self.occupants()]
            assert len(epochs) == len(set(epochs)), (self.standings(), self.log)

    def play(self, span_us):
        end_us = self.world.now_us + span_us
        next_us = self.world.now_us
        self.acked_us = self.world.now_us
        while self.world.now_us < end_us:
            if self.world.now_us >= next_us:
                self.inject_fault()
                next_us = self.world.now_us + self.dice.randrange(100_000, 3 * SECOND)
            self.order()
            self.run(lambda: False, 50_000)
            silent_us = self.world.now_us - self.acked_us
            assert silent_us <= SILENT_AT_MOST_US, (self.standings(), self.log)

    def end(self):
        """Everything that runs is well again, and the core is complete."""
        self.cut = None
        self.world.heal()
        for host in self.core.machines.values():
            host.wake()
        for _ in range(self.seats):
            self.add()
        self.run(lambda: len(self.voters()) == self.seats, 20 * SECOND)
        assert len(self.voters()) == self.seats, (self.standings(), self.log)
        self.order()
        self.order()
        assert self.acked == self.tried, (self.acked, self.tried, self.log)
        faults = [event for event in self.world.events if event[2] == FAULT]
        assert not faults, faults[:3]

    def standings(self):
        return {
            name: (
                host.node.replica.replica_id,
                host.node.replica.state,
                host.node.replica.incarnation,
            )
            for name, host in self.core.machines.items()
            if host.node
        }


@pytest.mark.parametrize("seats", [3, 5])
@pytest.mark.parametrize("seed", range(1, SEEDS + 1))
def test_a_core_answers_through_losses_replacements_and_departures(seed, seats):
    course = Course(seed, seats)
    course.play(40 * SECOND)
    course.end()
