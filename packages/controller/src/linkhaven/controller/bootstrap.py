"""The first start of a core: who gets which replica when nothing was ever started."""

from collections.abc import Sequence

from linkhaven.consensus import Replica


def begin_first_start(replica: Replica, may_bootstrap: bool, contacts: Sequence[str]) -> None:
    """Give this node a replica if it is one of the first contacts of a core without any history.

    `may_bootstrap`: whether the deployment says that nothing was ever started. `contacts`: the
    sorted addresses of the nodes that start the core; the first of them get a replica each. A node
    with a disk that isn't empty, or with a replica already, keeps what it has.
    """
    contact = replica.assignment.contact
    if replica.replica_id or not replica.is_empty or not may_bootstrap or contact not in contacts:
        return
    index = contacts.index(contact)
    if index < len(replica.replica_ids):
        replica.bootstrap(replica.replica_ids[index], contacts)
