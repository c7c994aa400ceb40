"""Measures in seeded runs how long shards have no owner after their owner fails."""

from collections.abc import Callable
from typing import NamedTuple

from .machine import Machine
from .world import LeaseWorld

SAMPLE_US = 2_000
SETTLE_US = 4_000_000
FAULT_WITHIN_US = 300_000
OBSERVE_US = 2_000_000


class Takeover(NamedTuple):
    """Take-over times of one shard; times count from the fault."""

    unowned_us: int
    """How long the shard had no owner, in steps of `SAMPLE_US`."""

    taken_us: int
    """When another machine first owned it; `OBSERVE_US` if none did."""


def kill(world: LeaseWorld, victim: Machine) -> None:
    """Kills the process."""
    victim.end()


def freeze(world: LeaseWorld, victim: Machine) -> None:
    """Suspends the process."""
    victim.freeze()


def cut(world: LeaseWorld, victim: Machine) -> None:
    """Cuts all links to and from the machine."""
    world.split([victim])


def cut_incoming(world: LeaseWorld, victim: Machine) -> None:
    """Cuts all links to the machine; its own messages arrive."""
    world.cut([one for one in world.machines if one is not victim], [victim])


def cut_outgoing(world: LeaseWorld, victim: Machine) -> None:
    """Cuts all links from the machine; it still receives messages."""
    world.cut([victim], [one for one in world.machines if one is not victim])


def split(world: LeaseWorld, victim: Machine) -> None:
    """Splits the core; the victim is on the minority side."""
    others = [one for one in world.machines if one is not victim]
    minority = (len(world.replica_ids) - 1) // 2
    world.split([victim, *others[: minority - 1]])


FAULTS: dict[str, Callable[[LeaseWorld, Machine], None]] = {
    function.__name__: function
    for function in (kill, freeze, cut, cut_incoming, cut_outgoing, split)
}


def measure_takeovers(fault: str, seed: int) -> list[Takeover]:
    """Has the owner of a shard fail at a seeded time; returns a result for each shard
    that it owned.
    """
    world = LeaseWorld(seed)
    world.run(SETTLE_US + world.random.randrange(FAULT_WITHIN_US))
    (victim,) = world.owners_of(seed % len(world.replica_ids))
    shards = [shard for shard in range(len(world.replica_ids)) if victim.owns(shard)]
    unowned_us = dict.fromkeys(shards, 0)
    taken_us = dict.fromkeys(shards, OBSERVE_US)
    FAULTS[fault](world, victim)
    for elapsed_us in range(SAMPLE_US, OBSERVE_US + 1, SAMPLE_US):
        world.run(SAMPLE_US)
        for shard in shards:
            owners = world.owners_of(shard)
            if not owners:
                unowned_us[shard] += SAMPLE_US
            elif owners != [victim]:
                taken_us[shard] = min(taken_us[shard], elapsed_us)
    return [Takeover(unowned_us[shard], taken_us[shard]) for shard in shards]
