"""The registers of a replica as its acceptor keeps them, in memory and in the form of its disk.

A register's record is a list of its promise, its accepted ballot, its accepted value and when it
was created, under `cell/` and its key.
"""

from collections.abc import Callable, Mapping
from typing import Any

from linkhaven.runtime import Node

from .claim_limits import ClaimLimits, default_claim_limits
from .claims import CLAIM_PREFIX, ClaimRetention
from .paxos_messages import Ballot
from .proposal import AcceptedValue
from .recovery_messages import RegisterCopy

RECORD_PREFIX = "cell/"
"""The records of registers have keys that begin so on disk."""


class RegisterState:
    """What an acceptor keeps for one key (Lamport, Paxos Made Simple, 2.2)."""

    __slots__ = ("promise", "accepted", "value", "chosen", "created_us", "version")

    def __init__(
        self,
        promise: Ballot | None = None,
        accepted: Ballot | None = None,
        value: Any = None,
        created_us: int = 0,
    ) -> None:
        """In the order of its record."""
        self.promise: Ballot = promise or [0, ""]
        """The highest ballot that it promised: lower ones get no vote."""

        self.accepted = accepted
        """The ballot that it accepted last, None where it never did; `value` is that one's."""

        self.value = value
        self.chosen: Ballot | None = None
        """The accepted ballot, where it is known to be chosen; not on disk."""

        self.created_us = created_us
        """When it was first kept, by the clock of `ClaimRetention`."""

        self.version = 0
        """The change count of its last change; not on disk."""

    def as_copy(self) -> RegisterCopy:
        """What another replica takes over of it."""
        return (self.promise, self.accepted, self.value)

    def as_record(self) -> list[Any]:
        """The record that the disk keeps."""
        return [self.promise, self.accepted, self.value, self.created_us]


class RegisterTable:
    """The registers of a replica and the count of their changes; acceptor and recovery write it.

    Memory is ahead of the disk: whoever changes a register answers for it only once its record is
    synced.
    """

    __slots__ = ("states", "change_count", "claims")

    def __init__(
        self, stored: Mapping[str, Any], claim_limits: Callable[[], ClaimLimits], now_us: int
    ) -> None:
        """`stored`: all records of the disk; `claim_limits` gives those in force now."""
        self.states = {
            key[len(RECORD_PREFIX) :]: RegisterState(*record)
            for key, record in stored.items()
            if key.startswith(RECORD_PREFIX)
        }
        self.change_count = 0
        self.claims = ClaimRetention(
            claim_limits,
            stored.get("clock_us", 0),
            now_us,
            [
                (register.created_us, key)
                for key, register in self.states.items()
                if key.startswith(CLAIM_PREFIX)
            ],
        )

    @classmethod
    def load(
        cls, node: Node, claim_limits: Callable[[], ClaimLimits] = default_claim_limits
    ) -> "RegisterTable":
        """Read the registers of a node's disk."""
        return cls(node.ports.storage.load(), claim_limits, node.now_us())

    def get(self, key: str) -> RegisterState:
        """The register of a key; an empty one, which isn't kept, where there is none."""
        return self.states.get(key) or RegisterState()

    def get_or_create(self, key: str) -> RegisterState:
        """The register of a key, kept from now on where there was none."""
        register = self.states.get(key)
        if register is None:
            register = RegisterState(created_us=self.claims.clock_us)
            self.states[key] = register
            if key.startswith(CLAIM_PREFIX):
                self.claims.add(key)
        return register

    def note_change(self, register: RegisterState) -> None:
        """Count the change, so that who read this register before is sent it again."""
        self.change_count += 1
        register.version = self.change_count

    def accepted_of(self, key: str) -> AcceptedValue:
        """The ballot that was accepted last for a key, and its value."""
        register = self.get(key)
        return AcceptedValue(register.accepted, register.value)

    def is_known_chosen(self, key: str) -> bool:
        """Whether what was accepted last, if anything was, is known to be chosen."""
        register = self.states.get(key)
        if register is None or register.accepted is None:
            return True
        return register.chosen == register.accepted

    def merge(self, registers: Mapping[str, Any]) -> dict[str, Any]:
        """Take over the highest promises and accepted ballots; return the records to be written.

        `registers` gives promise, accepted ballot and value of each key.
        """
        records = {}
        for key, (promise, accepted, value) in registers.items():
            register = self.get_or_create(key)
            register.promise = max(register.promise, promise)
            if accepted and (register.accepted is None or accepted > register.accepted):
                register.accepted, register.value = accepted, value
            self.note_change(register)
            records[record_key(key)] = register.as_record()
        return records

    def drop_expired_claims(self) -> dict[str, None]:
        """Forget the claims whose retention is over; return their records as removed ones."""
        expired = self.claims.pop_expired()
        for key in expired:
            self.states.pop(key, None)
        return {record_key(key): None for key in expired}

    def clear(self) -> None:
        """Forget all registers."""
        self.states = {}
        self.claims.clear()


def record_key(key: str) -> str:
    """The key of a register's record on disk."""
    return f"{RECORD_PREFIX}{key}"
