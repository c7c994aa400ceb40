"""Which decode runners of a pool keep undisturbed, and which read prompts beside their streams.

TaiChi has instances whose reading disturbs decodes (large chunks) and others that keep decodes
gentle (small chunks). Decode runners of a pool are divided alike: the first of them, in an order
that all routers share, keep to long streams; the others also read the prompts of short answers.

A stream is long where it is expected to last longer than the longest pause that is in time: only
then can reads beside it make it late. How many keep undisturbed follows the sum of the streams that
are known to run, which changes slowly, so that late views of the fleet are enough for it.
"""

import math
from zlib import crc32

COMFORT = 0.6
"""The share of its places that a runner's streams are meant to take."""


MIN_DECODE_ONLY = 2


class DecoderSplit:
    """The decode runners of one pool, as two groups of names."""

    __slots__ = ("decode_only", "mixed")

    def __init__(self, decode_only, mixed):
        """`mixed` may be empty: then no decode runner reads for others."""
        self.decode_only = frozenset(decode_only)
        self.mixed = frozenset(mixed)


def split_decoders(runners, streams, held_share):
    """Divide decode runners so that all streams, one more, and what is held in memory fit.

    `held_share`: the memory that is held at them, in runners' worth. At least two keep undisturbed,
    so that the loss of one leaves another; where no more are needed, none reads for others.
    """
    ordered = sorted(runners, key=lambda runner: (crc32(runner.name.encode()), runner.name))
    names = [runner.name for runner in ordered]
    slots = sum(runner.slots for runner in ordered) / max(1, len(ordered))
    if not slots:
        return DecoderSplit(names, ())
    filled = max((streams + 1) / slots, held_share)
    count = max(MIN_DECODE_ONLY, math.ceil(filled / COMFORT))
    return DecoderSplit(names[:count], names[count:])
