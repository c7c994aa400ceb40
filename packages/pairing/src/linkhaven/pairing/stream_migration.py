"""Migration of running streams between decode runners."""

from linkhaven.runner.roster import DECODE

MIGRATION_INTERVAL_US = 1_000_000
"""The least time between two migrations from or to the same runner."""

KV_MARGIN = 0.15
"""A runner takes a stream only if its KV cache usage is this far below the watermark."""

MIN_PACE_TOKENS = 16
"""The least number of tokens from which a stream's time per token is judged."""


class StreamMigrator:
    """Migrates running streams between decode runners.

    Above the KV cache watermark a runner sheds its longest stream. A migrated stream whose time per
    token nears its target goes back. Each migration is an extra attempt of its request.
    """

    __slots__ = ("node", "pairing", "roster", "streams", "move", "migrated_us", "moves")

    def __init__(self, node, pairing, roster, streams, move):
        """Watch `streams()`; `move(stream, target, why)` tells whether a migration began."""
        self.node = node
        self.pairing = pairing
        self.roster = roster
        self.streams = streams
        self.move = move
        self.migrated_us = {}
        self.moves = {"shed": 0, "back": 0}
        node.tick_handlers.append(self.tick)

    def tick(self, now_us):
        """Migrate streams as needed, if the plan enables migration."""
        settings = self.pairing.estimator.settings
        if settings is None or not settings.is_migration_enabled:
            return
        for runner in self.roster.open_runners():
            if runner.phase == DECODE:
                self._shed(runner, settings, now_us)
        self._flow_back(settings, now_us)

    def _has_migrated_lately(self, name, now_us):
        return now_us - self.migrated_us.get(name, -MIGRATION_INTERVAL_US) < MIGRATION_INTERVAL_US

    def _shed(self, runner, settings, now_us):
        if (
            self._has_migrated_lately(runner.name, now_us)
            or self.pairing.load.kv_share(runner) <= settings.kv_watermark
        ):
            return
        target = self.pairing.choose_decode(without=(runner.name,))
        if target is None or self.pairing.load.kv_share(target) > settings.kv_watermark - KV_MARGIN:
            return
        movable = [
            stream for stream in self.streams() if stream.runner is runner and stream.is_movable()
        ]
        if not movable:
            return
        stream = max(movable, key=lambda stream: stream.tokens)
        self.migrated_us[runner.name] = now_us
        if self.move(stream, target, "shed"):
            self.moves["shed"] += 1

    def _flow_back(self, settings, now_us):
        for stream in self.streams():
            if (
                not stream.moved_from
                or not stream.is_movable()
                or stream.pace_tokens < MIN_PACE_TOKENS
            ):
                continue
            if stream.pace_us(now_us) <= settings.tpot_threshold * stream.tpot_us:
                continue
            origin = self.roster.runners.get(stream.moved_from)
            if origin is None or not origin.is_open() or origin.phase != DECODE:
                continue
            if (
                self._has_migrated_lately(origin.name, now_us)
                or self.pairing.load.kv_share(origin) > settings.kv_watermark - KV_MARGIN
            ):
                continue
            self.migrated_us[origin.name] = now_us
            if self.move(stream, origin, "back"):
                self.moves["back"] += 1
