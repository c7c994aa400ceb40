"""Membership of the fleet by gossip, with a failure detector that uses heartbeats.

Sources: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group
membership protocol" (DSN 2002), for incarnations, suspicion and its refutation; Demers et al.,
"Epidemic algorithms for replicated database maintenance" (PODC 1987), for anti-entropy; Karger et
al., "Consistent hashing and random trees" (STOC 1997), for the ring. Unlike SWIM, members send
heartbeats to a few watchers, and most of these must suspect a member before it counts as failed.

The membership is a hint: it informs operators and tells nodes which addresses to use. No safety
property depends on it.
"""

from .member import Member, MemberState
from .membership import Membership

__all__ = ["Member", "MemberState", "Membership"]
