"""The hash ring that assigns watchers to members.

Source: Karger et al., "Consistent hashing and random trees" (STOC 1997). A member's watchers are
its successors on the ring, so a change of one member affects only the watchers of its neighbours.
"""

import hashlib
from bisect import bisect_left
from collections.abc import Iterable
from functools import lru_cache

WATCHERS_PER_MEMBER = 3
POSITION_BYTES = 8
MAX_CACHED_POSITIONS = 4096


@lru_cache(maxsize=MAX_CACHED_POSITIONS)
def position_of(name: str) -> int:
    """Return a name's position on the ring."""
    digest = hashlib.blake2b(name.encode(), digest_size=POSITION_BYTES).digest()
    return int.from_bytes(digest, "big")


class HashRing:
    """The live members in the order of their positions; it is rebuilt when these change."""

    __slots__ = ("order", "watchers")

    def __init__(self, names: Iterable[str]) -> None:
        """Place the names of the live members on the ring."""
        self.order = sorted((position_of(name), name) for name in names)
        self.watchers: dict[str, list[str]] = {}

    def watchers_of(self, name: str) -> list[str]:
        """Return the successors of a name, which needn't be on the ring; don't change the list."""
        found = self.watchers.get(name)
        if found is None:
            found = self.watchers[name] = self._find_watchers(name)
        return found

    def _find_watchers(self, name: str) -> list[str]:
        start = bisect_left(self.order, (position_of(name), name))
        found: list[str] = []
        for step in range(len(self.order)):
            successor = self.order[(start + step) % len(self.order)][1]
            if successor != name:
                found.append(successor)
            if len(found) == WATCHERS_PER_MEMBER:
                break
        return found
