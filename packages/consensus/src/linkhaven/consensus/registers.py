"""The registers of a replica, in memory and in the format stored on disk.

A register is stored under the key `cell/KEY` as a list of its promised ballot, accepted ballot,
accepted value and time of creation.
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
"""Prefix of the keys under which registers are stored."""


class RegisterState:
    """An acceptor's state for one key (Lamport, Paxos Made Simple, 2.2)."""

    __slots__ = ("promise", "accepted", "value", "chosen", "created_us", "version")

    def __init__(
        self,
        promise: Ballot | None = None,
        accepted: Ballot | None = None,
        value: Any = None,
        created_us: int = 0,
    ) -> None:
        """Take the elements of a stored record, in its order."""
        self.promise: Ballot = promise or [0, ""]
        """The highest promised ballot; lower ones get no vote."""

        self.accepted = accepted
        """The last accepted ballot, whose value is `value`; None if none was accepted."""

        self.value = value
        self.chosen: Ballot | None = None
        """The accepted ballot if it is known to be chosen; not stored."""

        self.created_us = created_us
        """When the register was created, by the clock of `ClaimRetention`."""

        self.version = 0
        """The table's change count at the last change of this register; not stored."""

    def as_copy(self) -> RegisterCopy:
        """Return the part of the state that other replicas merge."""
        return (self.promise, self.accepted, self.value)

    def as_record(self) -> list[Any]:
        """Return the record to store on disk."""
        return [self.promise, self.accepted, self.value, self.created_us]


class RegisterTable:
    """The registers of a replica and a count of their changes; written by acceptor and recovery.

    Changes are made in memory before they are on disk. Whoever changes a register must not confirm
    the change to another node before its record is synced.
    """

    __slots__ = ("states", "change_count", "claims")

    def __init__(
        self, stored: Mapping[str, Any], claim_limits: Callable[[], ClaimLimits], now_us: int
    ) -> None:
        """`stored`: all records on disk; `claim_limits` returns the limits now in force."""
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
        """Load the registers from a node's disk."""
        return cls(node.ports.storage.load(), claim_limits, node.now_us())

    def get(self, key: str) -> RegisterState:
        """Return the register of a key; if there is none, an empty one that isn't added."""
        return self.states.get(key) or RegisterState()

    def get_or_create(self, key: str) -> RegisterState:
        """Return the register of a key; it is added if there is none."""
        register = self.states.get(key)
        if register is None:
            register = RegisterState(created_us=self.claims.clock_us)
            self.states[key] = register
            if key.startswith(CLAIM_PREFIX):
                self.claims.add(key)
        return register

    def note_change(self, register: RegisterState) -> None:
        """Count a change, so that transfers which already read this register send it again."""
        self.change_count += 1
        register.version = self.change_count

    def accepted_of(self, key: str) -> AcceptedValue:
        """Return the last accepted ballot of a key, and its value."""
        register = self.get(key)
        return AcceptedValue(register.accepted, register.value)

    def is_known_chosen(self, key: str) -> bool:
        """Whether a key's last accepted ballot, if there is one, is known to be chosen."""
        register = self.states.get(key)
        if register is None or register.accepted is None:
            return True
        return register.chosen == register.accepted

    def merge(self, registers: Mapping[str, Any]) -> dict[str, Any]:
        """Keep the higher promise and accepted ballot of each key; return the records to write.

        `registers` gives the promised ballot, accepted ballot and value by key (`RegisterCopy`).
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
        """Delete the claims whose retention has ended; return their records to delete."""
        expired = self.claims.pop_expired()
        for key in expired:
            self.states.pop(key, None)
        return {record_key(key): None for key in expired}

    def clear(self) -> None:
        """Delete all registers from memory."""
        self.states = {}
        self.claims.clear()


def record_key(key: str) -> str:
    """Return the key under which a register is stored."""
    return f"{RECORD_PREFIX}{key}"
