"""Bootstrap of a new core: assigns the replicas to its first nodes."""

from collections.abc import Sequence

from linkhaven.consensus import Replica


def begin_first_start(replica: Replica, may_bootstrap: bool, contacts: Sequence[str]) -> None:
    """Assign a replica to this node if it is one of the first contacts of a new core.

    `may_bootstrap`: whether the deployment says that this core was never started before.
    `contacts`: the sorted addresses of the nodes that start the core; the first of them get one
    replica each. A node that already has a replica, or whose disk isn't empty, is left as it is.
    """
    contact = replica.assignment.contact
    if replica.replica_id or not replica.is_empty or not may_bootstrap or contact not in contacts:
        return
    index = contacts.index(contact)
    if index < len(replica.replica_ids):
        replica.bootstrap(replica.replica_ids[index], contacts)
