"""Random sequences of losses, replacements and departures, within the tolerated number of faults.

`MEMBERSHIP_SEEDS=200 pytest tests/test_membership.py` runs a larger set of seeds by hand.
"""

import os

import pytest

from linkhaven.stage.core import SimCore

SECOND = 1_000_000
STEP = 10_000
SEEDS = int(os.environ.get("MEMBERSHIP_SEEDS", "12"))
MAX_SILENCE_US = 5 * SECOND
HANDLER_FAULT = 1005
PLAN = {
    "groups": {"g": {}},
    "kinds": {"k": {"group": "g", "ttft_us": 1, "tpot_us": 1, "deadline_us": 9}},
}


class FaultRun:
    """One core, the configuration updates that it is sent, and the faults that are injected."""

    def __init__(self, seed, seats):
        self.core = SimCore(seed * 7 + seats, seats=seats).bootstrap(3, seats - 3)
        self.world = self.core.world
        self.dice = self.world.dice
        self.seats = seats
        self.machines_added = 0
        self.acked = 0
        self.tried = 0
        self.acked_us = 0
        self.cut_off_name = None
        self.log = []
        self.leaving = set()
        self.freed_addresses = []
        assert self.core.wait_voting(seats, 10 * SECOND)
        self.add()

    def note(self, *what):
        self.log.append((self.world.now_us, *what))

    def add(self):
        """Start a new machine, sometimes at the address of one that was lost."""
        self.machines_added += 1
        name = f"new-{self.machines_added}"
        address = None
        if self.freed_addresses and self.dice.random() < 0.4:
            address = self.freed_addresses.pop()
        host = self.core.add(name, address or f"10.0.1.{self.machines_added}:7000")
        host.start()
        self.note("add", name, host.address)

    def occupants(self):
        """Return replica id, incarnation and name of each machine that considers itself voting."""
        return [
            (host.node.replica.replica_id, host.node.replica.incarnation, name)
            for name, host in self.core.machines.items()
            if host.node and not host.is_frozen and host.node.replica.is_voting
        ]

    def voters(self):
        """Return the newest occupant of each replica that isn't cut off."""
        newest = {seat: (incarnation, name) for seat, incarnation, name in sorted(self.occupants())}
        return [(seat, name) for seat, (_, name) in newest.items() if name != self.cut_off_name]

    def stable_voters(self):
        """Return the names of voters that aren't cut off and aren't leaving."""
        return [name for _, name in self.voters() if name not in self.leaving]

    def spares(self):
        return [
            name
            for name, host in self.core.machines.items()
            if host.node and host.node.replica.state == "spare" and name not in self.leaving
        ]

    def tolerates_a_fault(self):
        return len({seat for seat, _ in self.voters()}) > self.seats // 2 + 1 and (
            len(self.stable_voters()) > self.seats // 2 + 1
        )

    def inject_fault(self):
        actions = [self.kill_for_good, self.restart, self.wipe, self.freeze, self.cut_off]
        if len(self.spares()) < 2:
            actions = [self.add, self.add, *actions]
        if self.spares():
            actions += [self.leave, self.leave]
        action = self.dice.choice(actions)
        is_planned = action == self.leave and self.stable_voters() and not self.leaving
        if action != self.add and not is_planned and not self.tolerates_a_fault():
            return
        action()

    def pick(self):
        return self.core.machines[self.dice.choice(self.stable_voters())]

    def kill_for_good(self):
        host = self.pick()
        host.kill()
        self.note("lost", host.name)
        self.freed_addresses.append(host.address)
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
        if self.cut_off_name is not None:
            return
        host = self.pick()
        self.cut_off_name = host.name
        others = [name for name in self.core.machines if name != host.name]
        direction = self.dice.randrange(3)
        if direction != 1:
            self.world.cut([host.name], others, both=False)
        if direction != 2:
            self.world.cut(others, [host.name], both=False)
        self.note("cut", host.name, direction)
        self.world.after(self.dice.randrange(20 * SECOND), self.heal)

    def heal(self):
        self.note("heal", self.cut_off_name)
        self.cut_off_name = None
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
                self.freed_addresses.append(host.address)

        host.node.drain(lambda: self.world.after(200_000, end))

    def update_configuration(self):
        """Send one configuration update; after an unclear answer read the record first."""
        names = [name for name in self.stable_voters() if self.core.machines[name].node]
        if not names:
            return
        name = self.dice.choice(names)
        answers = []
        self.tried += 1
        base, revision = self.acked, self.tried
        self.core.machines[name].node.configuration_store.put_document(
            base, revision, f"text {revision}", PLAN, lambda *answer: answers.append(answer)
        )
        self.run(lambda: answers, 3 * SECOND)
        if answers and answers[0][0] is None:
            return self.ack(answers[0][1].key)
        records = []
        host = self.core.machines.get(name)
        if host is None or host.node is None:
            return
        host.node.configuration_store.read_record(lambda *answer: records.append(answer))
        self.run(lambda: records, 3 * SECOND)
        if records and records[0][0] is None and records[0][1]:
            assert records[0][1]["revision"] >= self.acked, self.log
            self.ack(records[0][1]["revision"])

    def ack(self, revision):
        assert revision >= self.acked, self.log
        self.acked = revision
        self.acked_us = self.world.now_us

    def run(self, until, max_us):
        end_us = self.world.now_us + max_us
        while self.world.now_us < end_us and not until():
            self.world.run_for(STEP)
            epochs = [(seat, incarnation) for seat, incarnation, _ in self.occupants()]
            assert len(epochs) == len(set(epochs)), (self.replica_states(), self.log)

    def play(self, span_us):
        end_us = self.world.now_us + span_us
        next_us = self.world.now_us
        self.acked_us = self.world.now_us
        while self.world.now_us < end_us:
            if self.world.now_us >= next_us:
                self.inject_fault()
                next_us = self.world.now_us + self.dice.randrange(100_000, 3 * SECOND)
            self.update_configuration()
            self.run(lambda: False, 50_000)
            silent_us = self.world.now_us - self.acked_us
            assert silent_us <= MAX_SILENCE_US, (self.replica_states(), self.log)

    def recover_and_check(self):
        """Repair all faults, then check that all replicas vote and updates are committed."""
        self.cut_off_name = None
        self.world.heal()
        for host in self.core.machines.values():
            host.wake()
        for _ in range(self.seats):
            self.add()
        self.run(lambda: len(self.voters()) == self.seats, 20 * SECOND)
        assert len(self.voters()) == self.seats, (self.replica_states(), self.log)
        self.update_configuration()
        self.update_configuration()
        assert self.acked == self.tried, (self.acked, self.tried, self.log)
        faults = [event for event in self.world.events if event[2] == HANDLER_FAULT]
        assert not faults, faults[:3]

    def replica_states(self):
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
    run = FaultRun(seed, seats)
    run.play(40 * SECOND)
    run.recover_and_check()
