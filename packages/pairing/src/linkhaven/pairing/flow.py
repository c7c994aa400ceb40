from linkhaven.runner.roster import DECODE

REST_US = 1_000_000
GAP = 0.15
PACE_TOKENS = 16


class StreamMigrator:
    """Moves running streams between decode runners: the longest are shed above the watermark,
    and a moved one that nears its pace target goes back. Each move is an extra shot."""

    __slots__ = ("node", "pairing", "roster", "streams", "move", "rested_us", "moves")

    def __init__(self, node, pairing, roster, streams, move):
        self.node = node
        self.pairing = pairing
        self.roster = roster
        self.streams = streams
        self.move = move
        self.rested_us = {}
        self.moves = {"shed": 0, "back": 0}
        node.systems.append(self.tick)

    def tick(self, now_us):
        settings = self.pairing.estimator.settings
        if settings is None or not settings.is_migration_enabled:
            return
        for runner in self.roster.open_runners():
            if runner.phase == DECODE:
                self._shed(runner, settings, now_us)
        self._flow_back(settings, now_us)

    def _is_resting(self, name, now_us):
        return now_us - self.rested_us.get(name, -REST_US) < REST_US

    def _shed(self, runner, settings, now_us):
        if (
            self._is_resting(runner.name, now_us)
            or self.pairing.load.kv_share(runner) <= settings.kv_watermark
        ):
            return
        target = self.pairing.choose_decode(without=(runner.name,))
        if target is None or self.pairing.load.kv_share(target) > settings.kv_watermark - GAP:
            return
        movable = [
            stream for stream in self.streams() if stream.runner is runner and stream.is_movable()
        ]
        if not movable:
            return
        stream = max(movable, key=lambda stream: stream.tokens)
        self.rested_us[runner.name] = now_us
        if self.move(stream, target, "shed"):
            self.moves["shed"] += 1

    def _flow_back(self, settings, now_us):
        for stream in self.streams():
            if not stream.moved_from or not stream.is_movable() or stream.pace_tokens < PACE_TOKENS:
                continue
            if stream.pace_us(now_us) <= settings.tpot_threshold * stream.tpot_us:
                continue
            origin = self.roster.runners.get(stream.moved_from)
            if origin is None or not origin.is_open() or origin.phase != DECODE:
                continue
            if (
                self._is_resting(origin.name, now_us)
                or self.pairing.load.kv_share(origin) > settings.kv_watermark - GAP
            ):
                continue
            self.rested_us[origin.name] = now_us
            if self.move(stream, origin, "back"):
                self.moves["back"] += 1
