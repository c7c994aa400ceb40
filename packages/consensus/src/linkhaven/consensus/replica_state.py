"""The state of a replica, which decides whether it votes.

| state | meaning | next |
| --- | --- | --- |
| SPARE | this node is no replica | BOOTSTRAPPING, RECOVERING, LEARNING |
| BOOTSTRAPPING | the first start of all is being synced | VOTING, or SPARE where the disk refuses |
| RECOVERING | see `recovery.py` | VOTING, WAITING, SUPERSEDED, SPARE |
| WAITING | more is lost than recovery can rebuild: an operator must say so | as RECOVERING |
| LEARNING | reads a departing replica, see `succession.py` | RECOVERING, SPARE |
| VOTING | the only state in which it gives votes | SEALED, SUPERSEDED, RECOVERING |
| SEALED | departs, and votes no more, see `departure.py` | VOTING, RECOVERING, SPARE |
| SUPERSEDED | a newer instance of this replica exists | SPARE, where it may be a spare |
"""

from enum import StrEnum


class ReplicaState(StrEnum):
    """The values stand in refusals, in `GET /v1/core` and in `GET /v1/standing`.

    Their spelling is of earlier versions: what is written as "fenced" there is SUPERSEDED.
    """

    SPARE = "spare"
    BOOTSTRAPPING = "beginning"
    RECOVERING = "rejoining"
    WAITING = "waiting"
    LEARNING = "learning"
    VOTING = "voting"
    SEALED = "sealed"
    SUPERSEDED = "fenced"


IN_RECOVERY = frozenset((ReplicaState.RECOVERING, ReplicaState.WAITING))
