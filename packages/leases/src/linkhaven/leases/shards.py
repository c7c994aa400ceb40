"""Shards of tenants: the shard of a tenant, and the preferred replicas of a shard."""

import hashlib
from collections.abc import Iterable

SCORE_BYTES = 8


def shard_of(tenant: str, num_shards: int) -> int:
    """Return the shard of a tenant; the same on every node and in every software version."""
    return _score(tenant) % num_shards


def preference_order(shard: int, replica_ids: Iterable[str]) -> list[str]:
    """Return the replicas ordered by rendezvous hashing, the preferred one first.

    When a replica is added or removed, the others keep their order (Thaler and Ravishankar,
    "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1),
    1998).
    """
    return sorted(replica_ids, key=lambda replica_id: _score(f"{shard}/{replica_id}"))


def _score(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=SCORE_BYTES).digest(), "big")
