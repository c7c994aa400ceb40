"""Who reads and who decodes in one pool of runners, and for how long nobody did."""

from linkhaven.pairing import RatioSearch
from linkhaven.runner.roster import DECODE, PREFILL

ROLES = (PREFILL, DECODE)
OTHER_ROLE = {PREFILL: DECODE, DECODE: PREFILL}


class PoolRoles:
    """How the runners of one pool stand at one moment.

    `sound`: by phase, those that take work and answer. `uncertain`: by phase, those that may yet
    prove to play it: they owe an answer, haven't reported, or are dark by a router's word only.
    `arriving`: by phase, those that are switching to it. Who leaves, or is dark for sure, is in
    none of them.
    """

    __slots__ = ("sound", "uncertain", "arriving", "unreported")

    def __init__(self):
        """No runner is counted yet."""
        self.sound = {phase: [] for phase in ROLES}
        self.uncertain = {phase: [] for phase in ROLES}
        self.arriving = {phase: [] for phase in ROLES}
        self.unreported = 0

    def add(self, runner, runner_discovery, change):
        """Count one runner; `change`: what it was ordered to play, if that is under way."""
        if (
            runner.is_plain()
            or not runner.is_listed
            or runner.is_leaving
            or runner_discovery.is_lost(runner)
        ):
            return
        if runner.reported_us is None:
            self.unreported += not runner.is_unresponsive
        phase = runner.phase
        if change is not None and change.is_sent:
            phase = change.phase
        elif runner.is_switching:
            phase = OTHER_ROLE[runner.phase]
        if (
            runner.is_unresponsive
            or runner.reported_us is None
            or runner_discovery.is_suspect(runner)
        ):
            self.uncertain[phase].append(runner)
        elif phase != runner.phase or runner.is_switching:
            self.arriving[phase].append(runner)
        else:
            self.sound[phase].append(runner)

    def members(self):
        """How many sound runners there are."""
        return sum(len(runners) for runners in self.sound.values())

    def may_spare(self, runner):
        """Whether another sound runner plays this one's phase."""
        return any(other is not runner for other in self.sound[runner.phase])

    def is_empty(self, phase):
        """Whether nobody sound plays the phase, though a sound runner could be ordered to.

        A reader is asked for only where a decoder is left beside it.
        """
        spare = len(self.sound[OTHER_ROLE[phase]])
        return not self.sound[phase] and spare > (phase == PREFILL)


class RoleVacancy:
    """One phase of one pool, over time."""

    __slots__ = ("was_played", "unplayed_since_us", "vacant_since_us", "is_violated")

    def __init__(self):
        """Nobody has been seen to play it."""
        self.was_played = False
        self.unplayed_since_us = None
        self.vacant_since_us = None
        self.is_violated = False


class RunnerPool:
    """What the switcher keeps of one pool: its ratio search, its dwell and its two sides.

    `name` None: the runners of a deployment without pools, which read prompts in place.
    """

    __slots__ = (
        "name",
        "search",
        "looked_us",
        "dwell_until_us",
        "roles",
        "now",
        "seen",
        "cover_from_us",
    )

    def __init__(self, name):
        """Nothing was seen of it yet."""
        self.name = name
        self.search = RatioSearch()
        self.looked_us = 0
        self.dwell_until_us = 0
        self.cover_from_us = 0
        self.roles = {phase: RoleVacancy() for phase in ROLES}
        self.now = PoolRoles()
        self.seen = {}

    def take(self, roles, now_us):
        """Note how the runners stand now, and since when a side is empty."""
        self.now = roles
        for phase, side in self.roles.items():
            if roles.sound[phase]:
                side.was_played = True
            if not roles.is_empty(phase):
                side.unplayed_since_us = None
            elif side.unplayed_since_us is None:
                side.unplayed_since_us = now_us

    def needs(self, phase, is_searched):
        """Whether the pool must have somebody of this phase.

        Without a decoder nothing is answered. Without a reader prompts are read in place: a
        deployment without pools may choose that, and so may one that fixes its phases itself.
        """
        return phase == DECODE or is_searched and self.name is not None

    def must_fill(self, phase, wait_us, now_us):
        """Whether somebody must be ordered to play this phase now.

        At once where those who played it are known to be lost; after `wait_us` where somebody may
        yet prove to play it, or nobody was ever seen to.
        """
        side = self.roles[phase]
        if side.unplayed_since_us is None or self.now.arriving[phase]:
            return False
        is_certain = side.was_played and not self.now.uncertain[phase]
        return is_certain or now_us - side.unplayed_since_us >= wait_us
