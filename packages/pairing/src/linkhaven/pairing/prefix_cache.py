"""The work of a prefill, and which prompt prefixes the runners' caches are expected to hold."""

import hashlib
import math
from collections import OrderedDict

HASH_BYTES = 4
NUM_HASHES = 1 << (8 * HASH_BYTES)
"""The number of hash values."""

CACHE_SHARE = 0.8
"""The share of a runner's KV cache that is num_assumed to hold parts of recent prompts."""

MAX_PARTS = 4_096
"""The most parts that are tracked per runner."""


def hash_of(text):
    """Return a hash below `NUM_HASHES`.

    A checksum isn't suited, since similar texts have similar checksums.
    """
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest())


class PrefillWork:
    """The prompt of a request, as placement needs it.

    `tokens` is the prompt's length, `parts` its parts in order as (id, tokens), `pool` the pool
    whose runners may take it (None for any). `typical_tokens` is the mean number of uncached tokens
    of prompts of its kind, 0 while that is unknown. `has_long_answer`: the answer is expected to
    last longer than the longest pause that is still in time, so that prefills on the same runner
    can make it late.
    """

    __slots__ = ("tokens", "parts", "pool", "typical_tokens", "has_long_answer")

    def __init__(self, tokens, parts=(), pool=None, typical_tokens=0, has_long_answer=True):
        """Hold the attributes described above."""
        self.tokens = tokens
        self.parts = parts
        self.pool = pool
        self.typical_tokens = typical_tokens
        self.has_long_answer = has_long_answer


class PrefixCacheView:
    """The prompt parts that each runner's prefix cache is expected to hold, as this router knows.

    A runner reuses a cached part if all parts before it are cached too. Parts are evicted in LRU
    order.
    """

    __slots__ = ("runners",)

    def __init__(self):
        self.runners = {}

    def note(self, runner, parts):
        """Note that a runner is sent a prompt with these parts, as (id, tokens)."""
        cached = self.runners.get(runner.name)
        if cached is None:
            cached = self.runners[runner.name] = OrderedDict()
        for id, tokens in parts:
            cached[id] = tokens
            cached.move_to_end(id)
        capacity = runner.kv_total * CACHE_SHARE if runner.kv_total > 1 else None
        total = sum(cached.values()) if capacity else 0
        while len(cached) > MAX_PARTS or capacity and total > capacity:
            total -= cached.popitem(last=False)[1]

    def affinity_runner(self, shares, work):
        """Return the runner to which a prompt's last shared part hashes, or None without one.

        Routers that aren't told of each other's prefills all send the part there, and so find it
        cached with the parts before it. The last part is used since it is shared by the fewest
        prompts: many begin with the same first parts, which would map most prompts to few runners.
        `shares`: the prefill capacity of each runner relative to the others. Weighted rendezvous
        hashing (Schindelhauer and Schomaker, 2005) gives each runner its share of the parts and
        moves few of them when a runner comes or goes.
        """
        if not shares or len(work.parts) < 2:
            return None
        part = work.parts[-2][0]

        def score(runner):
            drawn = (hash_of(f"{part}/{runner.name}") + 0.5) / NUM_HASHES
            return -shares[runner] / math.log(drawn)

        return max(shares, key=score)

    def uncached_tokens(self, runner, work, has_affinity=False):
        """Return how many of a prompt's tokens a runner would have to prefill, at least 1.

        With `has_affinity` all shared parts count as cached, since most likely another router sent
        them there.
        """
        cached = self.runners.get(runner.name, ())
        if not work.parts or not (cached or has_affinity):
            return work.tokens
        num_assumed = len(work.parts) - 1 if has_affinity else 0
        left = work.tokens
        for index, (id, tokens) in enumerate(work.parts):
            if id not in cached and index >= num_assumed:
                break
            left -= tokens
        return max(1, left)

    def forget(self, names):
        """Drop the runners that are not among `names`."""
        for name in [name for name in self.runners if name not in names]:
            del self.runners[name]

    def drop(self, name):
        """Drop what is known of one runner's cache."""
        self.runners.pop(name, None)
