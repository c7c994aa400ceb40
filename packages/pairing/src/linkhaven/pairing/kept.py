import hashlib
import math
from collections import OrderedDict

HASH_BYTES = 4
HASHES = 1 << (8 * HASH_BYTES)
KEEP_SHARE = 0.8
PARTS_AT_MOST = 4_096


def hash_of(text):
    """A number below HASHES; a checksum won't do, since alike texts have alike checksums."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest())


class PrefillWork:
    """What a request asks of a reader.

    Its prompt tokens, the shared parts they are made of in order as (id, tokens), and the pool
    whose runners may have it (None for any). `typical_tokens` is what a prompt of its kind leaves
    to read on the average, 0 where that isn't known. `has_long_answer`: its answer is expected to
    outlast the longest pause that is in time, so that reads beside it can make it late.
    """

    __slots__ = ("tokens", "parts", "pool", "typical_tokens", "has_long_answer")

    def __init__(self, tokens, parts=(), pool=None, typical_tokens=0, has_long_answer=True):
        """See above."""
        self.tokens = tokens
        self.parts = parts
        self.pool = pool
        self.typical_tokens = typical_tokens
        self.has_long_answer = has_long_answer


class PrefixCacheView:
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

    def affinity_runner(self, shares, work):
        """The runner to which the last shared part belongs by its name, None where none is shared.

        Routers that don't hear of each other's reads send it there, and so find it kept, with the
        parts before it. The last one is shared by fewest: by an earlier one, which many prompts
        begin with, a few runners would be the home of most. `shares`:
        how much each runner can read beside the others; weighted rendezvous hashing (Schindelhauer
        and Schomaker, 2005) gives each its share of the parts and moves few when one comes or goes.
        """
        if not shares or len(work.parts) < 2:
            return None
        part = work.parts[-2][0]

        def score(runner):
            drawn = (hash_of(f"{part}/{runner.name}") + 0.5) / HASHES
            return -shares[runner] / math.log(drawn)

        return max(shares, key=score)

    def uncached_tokens(self, runner, work, has_affinity=False):
        """What of a prompt a runner would read, as far as is known.

        At the home of its last shared part all shared ones count as kept: most likely another
        router had them read there.
        """
        held = self.runners.get(runner.name, ())
        if not work.parts or not (held or has_affinity):
            return work.tokens
        assumed = len(work.parts) - 1 if has_affinity else 0
        left = work.tokens
        for place, (id, tokens) in enumerate(work.parts):
            if id not in held and place >= assumed:
                break
            left -= tokens
        return max(1, left)

    def forget(self, names):
        for name in [name for name in self.runners if name not in names]:
            del self.runners[name]

    def drop(self, name):
        self.runners.pop(name, None)
