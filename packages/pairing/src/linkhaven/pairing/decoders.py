"""The division of a pool's decode runners into decode-only ones and mixed ones.

TaiChi has instances whose prefills slow down decodes (large chunks) and others that favor decodes
(small chunks). The decode runners of a pool are divided likewise. The first of them, in an order
that is the same at all routers, only decode; the others also prefill prompts with short answers.

A stream is long if it is expected to last longer than the longest pause that is still in time; only
then can prefills on its runner make it late. The number of decode-only runners follows the number
of running streams, which changes slowly, so that late reports of the fleet suffice.
"""

import math
from zlib import crc32

TARGET_SLOT_USAGE = 0.6
"""The target share of a runner's slots in use."""

MIN_DECODE_ONLY = 2
"""The least number of decode-only runners, so that the loss of one leaves another."""


class DecoderSplit:
    """The decode runners of one pool, as two groups of names."""

    __slots__ = ("decode_only", "mixed")

    def __init__(self, decode_only, mixed):
        """`mixed` may be empty: then no decode runner prefills prompts that decode elsewhere."""
        self.decode_only = frozenset(decode_only)
        self.mixed = frozenset(mixed)


def split_decoders(runners, streams, held_kv):
    """Divide decode runners so that the decode-only ones fit all streams and one more.

    `held_kv`: the KV cache in use, in units of one runner's. At least `MIN_DECODE_ONLY` runners
    are decode-only; all are where that many are needed or where slots are unknown.
    """
    ordered = sorted(runners, key=lambda runner: (crc32(runner.name.encode()), runner.name))
    names = [runner.name for runner in ordered]
    slots = sum(runner.slots for runner in ordered) / max(1, len(ordered))
    if not slots:
        return DecoderSplit(names, ())
    needed = max((streams + 1) / slots, held_kv)
    count = max(MIN_DECODE_ONLY, math.ceil(needed / TARGET_SLOT_USAGE))
    return DecoderSplit(names[:count], names[count:])
