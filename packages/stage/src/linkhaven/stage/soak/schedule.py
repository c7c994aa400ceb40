"""The faults of a soak, drawn from its seed: the same seed gives the same schedule."""

import random
from enum import StrEnum

import msgspec

SECOND_US = 1_000_000
FIRST_FAULT_US = SECOND_US
"""So long the fleet runs undisturbed at first."""

STAGGER_US = SECOND_US
"""Faults of one episode begin within this time, and each lasts longer: so all of them overlap."""

LENGTH_US = (1_500_000, 4_000_000)
LEAVING_LENGTH_US = (4_000_000, 6_000_000)
"""A runner that leaves in order is listed as leaving for a while before it stops."""

GAP_US = (500_000, 2_500_000)
DELAY_US = (20_000, 300_000)
OVERLAPPING = (2, 3)
LEAST_EPISODE_US = STAGGER_US + LENGTH_US[0]
DRAWS_AT_MOST = 200

RECOVERY_US = 9 * SECOND_US
"""Lease (3 s) and vacancy (1.5 s) of the settings, and a margin of 4.5 s."""

JUDGED_US = 6 * SECOND_US
"""So long the load goes on after the time for recovery, and must be served."""


class Kind(StrEnum):
    """What a fault does to its targets."""

    KILL = "kill"
    PAUSE = "pause"
    HOLD = "hold"
    RESET = "reset"
    DELAY = "delay"
    LOSE_ANSWERS = "lose_answers"
    LEAVE = "leave"
    REMOVE = "remove"


class Link(StrEnum):
    """Which of a process's links a fault is on; each has a relay of its own."""

    NONE = ""
    CALLS = "calls"
    LINES = "lines"
    PLATFORM = "platform"


class Role(StrEnum):
    """What a process of the fleet is."""

    CORE = "core"
    EDGE = "edge"
    PREFILL = "prefill"
    DECODE = "decode"


class Fault(msgspec.Struct, frozen=True):
    """One fault: what is done, to whom, and from when until when after the load began."""

    kind: Kind
    targets: tuple[str, ...]
    begin_us: int
    end_us: int
    link: Link = Link.NONE
    delay_us: int = 0

    def overlaps(self, other):
        """Whether there is a time when both are on."""
        return self.begin_us < other.end_us and other.begin_us < self.end_us


class Cast(msgspec.Struct, frozen=True):
    """The names of the fleet's processes by role."""

    cores: tuple[str, ...]
    edges: tuple[str, ...]
    prefills: tuple[str, ...]
    decodes: tuple[str, ...]

    def names(self, role):
        """All of one role."""
        return {
            Role.CORE: self.cores,
            Role.EDGE: self.edges,
            Role.PREFILL: self.prefills,
            Role.DECODE: self.decodes,
        }[role]

    def bound(self, role):
        """How many of a role may be disturbed at once: a majority of the core, half of the
        routers, and all decode runners but one stay whole."""
        return {
            Role.CORE: (len(self.cores) - 1) // 2,
            Role.EDGE: len(self.edges) // 2,
            Role.PREFILL: len(self.prefills),
            Role.DECODE: len(self.decodes) - 1,
        }[role]


def cast_of(deployment):
    """The processes that `LoopbackFleet` starts for a deployment."""
    runners = tuple(f"runner-{place + 1}" for place in range(deployment.runners))
    return Cast(
        cores=("core-a", "core-b", "core-c"),
        edges=tuple(f"edge-{place + 1}" for place in range(deployment.routers)),
        prefills=runners[: deployment.prefills],
        decodes=runners[deployment.prefills :],
    )


CHOICES = (
    (3, Kind.KILL, Role.CORE, Link.NONE),
    (3, Kind.KILL, Role.EDGE, Link.NONE),
    (5, Kind.KILL, Role.DECODE, Link.NONE),
    (1, Kind.KILL, Role.PREFILL, Link.NONE),
    (4, Kind.PAUSE, Role.CORE, Link.NONE),
    (2, Kind.PAUSE, Role.EDGE, Link.NONE),
    (2, Kind.PAUSE, Role.DECODE, Link.NONE),
    (1, Kind.PAUSE, Role.PREFILL, Link.NONE),
    *(
        (1, kind, role, link)
        for kind in (Kind.HOLD, Kind.RESET, Kind.DELAY)
        for role, link in (
            (Role.CORE, Link.CALLS),
            (Role.CORE, Link.LINES),
            (Role.CORE, Link.PLATFORM),
            (Role.EDGE, Link.CALLS),
            (Role.EDGE, Link.LINES),
            (Role.DECODE, Link.CALLS),
            (Role.PREFILL, Link.CALLS),
        )
    ),
    (2, Kind.LOSE_ANSWERS, Role.CORE, Link.CALLS),
    (1, Kind.LOSE_ANSWERS, Role.CORE, Link.PLATFORM),
    (2, Kind.LOSE_ANSWERS, Role.EDGE, Link.CALLS),
    (9, Kind.LOSE_ANSWERS, Role.DECODE, Link.CALLS),
    (4, Kind.LOSE_ANSWERS, Role.PREFILL, Link.CALLS),
    (4, Kind.RESET, Role.DECODE, Link.CALLS),
    (2, Kind.DELAY, Role.EDGE, Link.LINES),
    (2, Kind.HOLD, Role.EDGE, Link.LINES),
    (2, Kind.LEAVE, Role.DECODE, Link.NONE),
    (1, Kind.LEAVE, Role.PREFILL, Link.NONE),
    (2, Kind.REMOVE, Role.DECODE, Link.NONE),
)
WHOLE_CORE_SHARE = 0.2
LAST_RUNNER_SHARE = 0.12


def keeps_bounds(faults, cast):
    """Whether at no time a target has two faults, or more of a role are disturbed than may be.

    The whole core killed at once is the one exception, and stands alone among faults of the core.
    """
    for fault in faults:
        beside = [other for other in faults if other is not fault and other.overlaps(fault)]
        taken = [name for other in beside for name in other.targets]
        if set(taken) & set(fault.targets):
            return False
        if not all(_fits(fault, faults, cast, role) for role in Role):
            return False
    return True


def _fits(fault, faults, cast, role):
    names = set(cast.names(role))
    if role is Role.CORE and names <= set(fault.targets):
        return True
    at_us = fault.begin_us
    disturbed = {
        name
        for other in faults
        if other.begin_us <= at_us < other.end_us
        for name in other.targets
        if name in names
    }
    return len(disturbed) <= cast.bound(role) or not names & set(fault.targets)


class Drawing:
    """A schedule while it is drawn."""

    __slots__ = ("dice", "cast", "until_us", "faults")

    def __init__(self, seed, cast, until_us):
        """All faults end by `until_us`."""
        self.dice = random.Random(seed)
        self.cast = cast
        self.until_us = until_us
        self.faults = []

    def draw(self):
        """Episode after episode of overlapping faults, with gaps between them."""
        at_us = FIRST_FAULT_US
        while at_us + LEAST_EPISODE_US <= self.until_us:
            episode = self._draw_episode(at_us)
            self.faults += episode
            at_us = max([fault.end_us for fault in episode], default=at_us)
            at_us += self.dice.randint(*GAP_US)
        return sorted(self.faults, key=lambda fault: fault.begin_us)

    def _draw_episode(self, at_us):
        wanted = self.dice.choice(OVERLAPPING)
        episode = []
        special = self._draw_special(at_us)
        if special is not None:
            episode.append(special)
        for _ in range(DRAWS_AT_MOST):
            if len(episode) >= wanted:
                break
            fault = self._draw_fault(at_us)
            if fault.end_us <= self.until_us and keeps_bounds([*episode, fault], self.cast):
                episode.append(fault)
        return episode

    def _draw_special(self, at_us):
        chance = self.dice.random()
        if chance < WHOLE_CORE_SHARE:
            return self._last(Kind.KILL, self.cast.cores, at_us, LENGTH_US)
        if chance < WHOLE_CORE_SHARE + LAST_RUNNER_SHARE:
            kept = self.dice.choice(self.cast.decodes)
            gone = [name for name in (*self.cast.prefills, *self.cast.decodes) if name != kept]
            kind = self.dice.choice((Kind.LEAVE, Kind.REMOVE))
            return self._last(kind, tuple(gone), at_us, LEAVING_LENGTH_US)
        return None

    def _last(self, kind, targets, at_us, lengths_us):
        end_us = at_us + self.dice.randint(*lengths_us)
        return Fault(kind, targets, at_us, end_us) if end_us <= self.until_us else None

    def _draw_fault(self, at_us):
        weights = [choice[0] for choice in CHOICES]
        _, kind, role, link = self.dice.choices(CHOICES, weights)[0]
        is_leaving = kind in (Kind.LEAVE, Kind.REMOVE)
        begin_us = at_us + self.dice.randint(0, STAGGER_US)
        end_us = begin_us + self.dice.randint(*(LEAVING_LENGTH_US if is_leaving else LENGTH_US))
        target = self.dice.choice(self.cast.names(role))
        delay_us = self.dice.randint(*DELAY_US) if kind is Kind.DELAY else 0
        return Fault(kind, (target,), begin_us, end_us, link, delay_us)


def draw_schedule(seed, deployment, seconds):
    """The faults of one seed; they end early enough for recovery and its judging."""
    until_us = seconds * SECOND_US - RECOVERY_US - JUDGED_US
    return Drawing(seed, cast_of(deployment), until_us).draw()
