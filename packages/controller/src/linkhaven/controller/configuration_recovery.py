"""Restores a configuration that the core has lost from the routers that still hold it.

A core that lost its disks, or was restored from older ones, may hold an older configuration than
its routers. A replica that learns of a newer version requests the configuration from the router
that reported it, and writes the newest one received to the register.

| event | from | action |
| --- | --- | --- |
| a newer version, by gossip or in a watch request | a router | send it `ConfigurationRequest` |
| `ConfigurationResponse` | a router | keep it if it is the newest so far and its digest matches |

The configuration is written once the replica has voted for `WRITE_DELAY_US`, since until then the
core may still learn the version by itself. It is written only if no newer version is known, since
an older configuration must never replace a newer one.
"""

from collections.abc import Mapping
from typing import Any, Protocol

from linkhaven.configuration import BlobExchange, BlobStore, ConfigurationSnapshot, write_document
from linkhaven.consensus import Outcome, Proposer, Replica, UpdateAction
from linkhaven.runtime import Node

from .messages import ConfigurationRequest, ConfigurationResponse

WRITE_DELAY_US = 1_000_000
"""The wait after the replica starts voting, and between two attempts."""

CONFIGURATION_KEY = "plan"
"""The register's key of the configuration."""


class LostConfigurationObserver(Protocol):
    """Is notified when the core is found to have lost a configuration."""

    def on_configuration_lost(self) -> None:
        """A router holds a newer configuration than the core."""


class ConfigurationRecovery:
    """Owns the newest configuration that routers sent, until it is written or obsolete."""

    __slots__ = (
        "node",
        "replica",
        "proposer",
        "blobs",
        "blob_exchange",
        "snapshot",
        "observer",
        "voting_since_us",
        "reported",
        "is_writing",
        "attempted_us",
    )

    def __init__(
        self,
        node: Node,
        replica: Replica,
        proposer: Proposer,
        blobs: BlobStore,
        blob_exchange: BlobExchange,
        snapshot: ConfigurationSnapshot,
        observer: LostConfigurationObserver,
    ) -> None:
        """Start without any configuration from routers."""
        self.node = node
        self.replica = replica
        self.proposer = proposer
        self.blobs = blobs
        self.blob_exchange = blob_exchange
        self.snapshot = snapshot
        self.observer = observer
        self.voting_since_us: int | None = None
        self.reported: Mapping[str, Any] | None = None
        self.is_writing = False
        self.attempted_us = 0
        node.register_handler(ConfigurationResponse, self.on_configuration)

    def on_voting_started(self) -> None:
        """Start the wait before the first write."""
        self.voting_since_us = self.node.now_us()

    def on_member_version(self, version: int, member: Any) -> None:
        """Handle the configuration version that a member gossiped."""
        self.snapshot.observe_version(version)
        if member.kind == "router" and self.is_behind(version):
            self.node.send(member.address, ConfigurationRequest())

    def on_watch_request(self, message: dict[str, Any]) -> None:
        """Handle the configuration version that a router holds, from its watch request."""
        if self.is_behind(message["mark"]):
            self.observer.on_configuration_lost()
            self.node.send(message["back"], ConfigurationRequest())

    def is_behind(self, version: int) -> bool:
        """Whether this replica votes and holds an older version."""
        value = self.replica.register_state(CONFIGURATION_KEY).value
        return self.replica.is_voting and version > (value["mark"] if value else 0)

    def on_configuration(self, message: ConfigurationResponse) -> None:
        """Keep a router's configuration if it is the newest and its blob matches its digest."""
        record = message.record
        if not self.blobs.take(record["bodies"]["plan"], message.blob):
            return
        if self.reported is None or message.version > self.reported["mark"]:
            self.reported = {**record, "plan": self.blobs.document_of(record)}

    def tick(self, now_us: int) -> None:
        """Write the received configuration once that is safe, or drop it if it is obsolete."""
        reported = self.reported
        if reported is None or self.is_writing or not self._may_write(reported["mark"], now_us):
            return
        if not self.is_behind(reported["mark"]):
            self.reported = None
            return
        self.is_writing = True
        self.attempted_us = now_us
        self._write(reported)

    def _may_write(self, version: int, now_us: int) -> bool:
        if now_us - self.attempted_us < WRITE_DELAY_US or self.voting_since_us is None:
            return False
        if now_us - self.voting_since_us < WRITE_DELAY_US:
            return False
        return version >= self.snapshot.highest_version

    def _write(self, reported: Mapping[str, Any]) -> None:
        def step(value: dict[str, Any] | None) -> tuple[str, dict[str, Any] | None]:
            if value is not None and value["mark"] >= reported["mark"]:
                return UpdateAction.KEEP, None
            self.blob_exchange.send_texts([write_document(reported["plan"])])
            return UpdateAction.SET, {name: reported[name] for name in reported if name != "plan"}

        def done(outcome: str, value: dict[str, Any]) -> None:
            self.is_writing = False
            if outcome == Outcome.CHOSEN:
                self.node.ports.log(1207, mark=value["mark"])
                if self.snapshot.is_newer(value) and self.blobs.has_document(value):
                    self.snapshot.take(self.blobs.with_document(value))
                self.reported = None

        self.proposer.propose(CONFIGURATION_KEY, step, done)
