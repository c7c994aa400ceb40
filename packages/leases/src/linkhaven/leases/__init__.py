"""Leases on the singleton roles of the control plane, and quorum leases on shards of tenants.

Sources: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file
cache consistency" (SOSP 1989), for leases that expire by the holder's own clock; Burrows, "The
Chubby lock service" (OSDI 2006), section 2.4, for sequencers, here called fencing tokens.
"""

from .interfaces import LeaseListener, NullLeaseListener, ShardListener, ShardOwnership
from .lease import Lease, LeaseState
from .quorum_lease import NullShardListener, ShardLeases
from .records import LeaseRecord
from .shards import shard_of

__all__ = [
    "Lease",
    "LeaseListener",
    "LeaseRecord",
    "LeaseState",
    "NullLeaseListener",
    "NullShardListener",
    "ShardLeases",
    "ShardListener",
    "ShardOwnership",
    "shard_of",
]
