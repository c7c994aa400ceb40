from collections import OrderedDict
from zlib import crc32

from linkhaven.runner.roster import PREFILL

KEEP_SHARE = 0.8
PARTS_AT_MOST = 4_096


class Work:
    """What a request asks of a reader.

    Its prompt tokens, the shared parts they are made of in order as (id, tokens), and the pool
    whose runners may have it (None for any). `typical_tokens` is what a prompt of its kind leaves
    to read on the average, 0 where that isn't known.
    """

    __slots__ = ("tokens", "parts", "pool", "typical_tokens")

    def __init__(self, tokens, parts=(), pool=None, typical_tokens=0):
        """See above."""
        self.tokens = tokens
        self.parts = parts
        self.pool = pool
        self.typical_tokens = typical_tokens


class Kept:
    """Which parts of prompts each runner was given lately, as far as this router knows. A runner need not read a part
    again while it keeps it and every part before it; those longest unused give way."""

    __slots__ = ("runners",)

    def __init__(self):
        self.runners = {}

    def note(self, runner, parts):
        held = self.runners.get(runner.name)
        if held is None:
            held = self.runners[runner.name] = OrderedDict()
        for id, tokens in parts:
            held[id] = tokens
            held.move_to_end(id)
        room = runner.kv_total * KEEP_SHARE if runner.kv_total > 1 else None
        total = sum(held.values()) if room else 0
        while len(held) > PARTS_AT_MOST or room and total > room:
            total -= held.popitem(last=False)[1]

    def home(self, runners, work):
        """The reading runner to which the longest shared part belongs by its name: routers that don't hear of each
        other's reads send it there, and so find it kept."""
        readers = [runner for runner in runners if runner.phase == PREFILL]
        if not readers or len(work.parts) < 2:
            return None
        longest = max(work.parts[:-1], key=lambda part: part[1])[0]
        return max(readers, key=lambda runner: crc32(f"{longest}/{runner.name}".encode()))

    def unread(self, runner, work):
        held = self.runners.get(runner.name)
        if not held or not work.parts:
            return work.tokens
        left = work.tokens
        for id, tokens in work.parts:
            if id not in held:
                break
            left -= tokens
        return max(1, left)

    def forget(self, names):
        for name in [name for name in self.runners if name not in names]:
            del self.runners[name]

    def drop(self, name):
        self.runners.pop(name, None)
