"""Generates the fault schedule of a soak; the same seed gives the same schedule."""

import random
from enum import StrEnum

import msgspec

SECOND_US = 1_000_000
FIRST_FAULT_US = SECOND_US
"""How long the fleet runs without faults at first."""

STAGGER_US = SECOND_US
"""Faults of an episode begin within this time, and each lasts longer, so that all overlap."""

LENGTH_US = (1_500_000, 4_000_000)
LEAVING_LENGTH_US = (4_000_000, 6_000_000)
"""Longer than other faults, as a leaving runner is listed as leaving before it stops."""

GAP_US = (500_000, 2_500_000)
DELAY_US = (20_000, 300_000)
FAULTS_PER_EPISODE = (2, 3)
MIN_EPISODE_US = STAGGER_US + LENGTH_US[0]
MAX_EPISODE_DRAWS = 200

RECOVERY_US = 9 * SECOND_US
"""The lease (3 s) and vacancy (1.5 s) times of the settings, and a margin of 4.5 s."""

JUDGED_US = 6 * SECOND_US
"""How long the load continues after the recovery time; it must be served."""


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
    """The link of a process that a fault affects; each link has its own relay."""

    NONE = ""
    CALLS = "calls"
    LINES = "lines"
    PLATFORM = "platform"


class Role(StrEnum):
    """The role of a process in the fleet."""

    CORE = "core"
    EDGE = "edge"
    PREFILL = "prefill"
    DECODE = "decode"


class Fault(msgspec.Struct, frozen=True):
    """One fault: its kind, its targets, and its begin and end after the start of the load."""

    kind: Kind
    targets: tuple[str, ...]
    begin_us: int
    end_us: int
    link: Link = Link.NONE
    delay_us: int = 0

    def overlaps(self, other):
        """Whether both faults are active at some time."""
        return self.begin_us < other.end_us and other.begin_us < self.end_us


class ProcessRoles(msgspec.Struct, frozen=True):
    """The names of the fleet's processes by role."""

    cores: tuple[str, ...]
    edges: tuple[str, ...]
    prefills: tuple[str, ...]
    decodes: tuple[str, ...]

    def names(self, role):
        """The names of all processes of one role."""
        return {
            Role.CORE: self.cores,
            Role.EDGE: self.edges,
            Role.PREFILL: self.prefills,
            Role.DECODE: self.decodes,
        }[role]

    def max_disturbed(self, role):
        """How many processes of a role may be disturbed at once: a majority of the core, half of
        the routers and one decode runner always stay undisturbed."""
        return {
            Role.CORE: (len(self.cores) - 1) // 2,
            Role.EDGE: len(self.edges) // 2,
            Role.PREFILL: len(self.prefills),
            Role.DECODE: len(self.decodes) - 1,
        }[role]


def process_roles(deployment):
    """The processes that `LoopbackFleet` starts for a deployment."""
    runners = tuple(f"runner-{index + 1}" for index in range(deployment.runners))
    return ProcessRoles(
        cores=("core-a", "core-b", "core-c"),
        edges=tuple(f"edge-{index + 1}" for index in range(deployment.routers)),
        prefills=runners[: deployment.prefills],
        decodes=runners[deployment.prefills :],
    )


WEIGHTED_FAULTS = (
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
WHOLE_CORE_PROBABILITY = 0.2
LAST_RUNNER_PROBABILITY = 0.12


def keeps_bounds(faults, roles):
    """Whether no target has two faults at once and no role exceeds `ProcessRoles.max_disturbed`.

    The one exception is a kill of the whole core, which overlaps no other fault of the core.
    """
    for fault in faults:
        overlapping = [other for other in faults if other is not fault and other.overlaps(fault)]
        other_targets = [name for other in overlapping for name in other.targets]
        if set(other_targets) & set(fault.targets):
            return False
        if not all(_fits_role_limit(fault, faults, roles, role) for role in Role):
            return False
    return True


def _fits_role_limit(fault, faults, roles, role):
    names = set(roles.names(role))
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
    return len(disturbed) <= roles.max_disturbed(role) or not names & set(fault.targets)


class ScheduleGenerator:
    """Draws the faults of one schedule."""

    __slots__ = ("rng", "roles", "until_us", "faults")

    def __init__(self, seed, roles, until_us):
        """All faults are to end by `until_us`."""
        self.rng = random.Random(seed)
        self.roles = roles
        self.until_us = until_us
        self.faults = []

    def draw(self):
        """Draw episodes of overlapping faults, with gaps between them."""
        at_us = FIRST_FAULT_US
        while at_us + MIN_EPISODE_US <= self.until_us:
            episode = self._draw_episode(at_us)
            self.faults += episode
            at_us = max([fault.end_us for fault in episode], default=at_us)
            at_us += self.rng.randint(*GAP_US)
        return sorted(self.faults, key=lambda fault: fault.begin_us)

    def _draw_episode(self, at_us):
        wanted = self.rng.choice(FAULTS_PER_EPISODE)
        episode = []
        outage = self._draw_outage(at_us)
        if outage is not None:
            episode.append(outage)
        for _ in range(MAX_EPISODE_DRAWS):
            if len(episode) >= wanted:
                break
            fault = self._draw_fault(at_us)
            if fault.end_us <= self.until_us and keeps_bounds([*episode, fault], self.roles):
                episode.append(fault)
        return episode

    def _draw_outage(self, at_us):
        chance = self.rng.random()
        if chance < WHOLE_CORE_PROBABILITY:
            return self._make_outage(Kind.KILL, self.roles.cores, at_us, LENGTH_US)
        if chance < WHOLE_CORE_PROBABILITY + LAST_RUNNER_PROBABILITY:
            kept = self.rng.choice(self.roles.decodes)
            gone = [name for name in (*self.roles.prefills, *self.roles.decodes) if name != kept]
            kind = self.rng.choice((Kind.LEAVE, Kind.REMOVE))
            return self._make_outage(kind, tuple(gone), at_us, LEAVING_LENGTH_US)
        return None

    def _make_outage(self, kind, targets, at_us, lengths_us):
        end_us = at_us + self.rng.randint(*lengths_us)
        return Fault(kind, targets, at_us, end_us) if end_us <= self.until_us else None

    def _draw_fault(self, at_us):
        weights = [choice[0] for choice in WEIGHTED_FAULTS]
        _, kind, role, link = self.rng.choices(WEIGHTED_FAULTS, weights)[0]
        is_leaving = kind in (Kind.LEAVE, Kind.REMOVE)
        begin_us = at_us + self.rng.randint(0, STAGGER_US)
        end_us = begin_us + self.rng.randint(*(LEAVING_LENGTH_US if is_leaving else LENGTH_US))
        target = self.rng.choice(self.roles.names(role))
        delay_us = self.rng.randint(*DELAY_US) if kind is Kind.DELAY else 0
        return Fault(kind, (target,), begin_us, end_us, link, delay_us)


def draw_schedule(seed, deployment, seconds):
    """Draw the faults of one seed; they end early enough to recover and to judge service after."""
    until_us = seconds * SECOND_US - RECOVERY_US - JUDGED_US
    return ScheduleGenerator(seed, process_roles(deployment), until_us).draw()
