"""Mechanisms that a soak may take out of its nodes, to show that its judge then finds a breach.

Each sabotage patches the classes of the process that it is applied in, before its node is built.
"""

from collections.abc import Callable
from typing import Any

from linkhaven.api import ServiceError
from linkhaven.configuration import (
    ConfigurationSnapshot,
    ConfigurationWatcher,
    decode_configuration,
)
from linkhaven.controller.storage import LmdbStorage
from linkhaven.credit.tenant_quota import TenantQuotas
from linkhaven.leases import Lease
from linkhaven.router import native
from linkhaven.router.attempts import Attempts
from linkhaven.router.authentication import Authenticator
from linkhaven.runner import adapter

UNSYNCED_US = 1_000_000
"""How long `answer_before_the_sync` leaves writes in memory that were answered for."""


def repeat_one_time_work() -> None:
    """A one-time request that may have begun is sent again."""
    Attempts.is_safe_to_retry = lambda self, request: True


def refuse_what_was_begun() -> None:
    """A request whose work may have begun is refused as one that never ran."""
    Attempts._with_unknown_outcome = lambda self, error: ServiceError(
        "no_runner", retry_us=1_000_000
    )


def answer_before_the_sync() -> None:
    """A replica answers for what it writes a second before the disk has it."""
    write, sync = LmdbStorage.write, LmdbStorage._sync
    due: dict[int, list[Any]] = {}

    def write_late(self: LmdbStorage, items: Any, done: Callable[[bool], None]) -> None:
        held = due.setdefault(id(self), [])
        held.append(items)
        assert self.clock is not None
        self.clock.call_in(0, lambda: done(True))
        if len(held) == 1:
            self.clock.call_in(UNSYNCED_US, lambda: flush(self))

    def flush(self: LmdbStorage) -> None:
        for items in due.pop(id(self), []):
            write(self, items, lambda is_kept: None)
        sync(self)

    LmdbStorage.write = write_late


def order_without_a_lease() -> None:
    """A former holder of a role goes on ordering; its runners don't check fencing tokens."""
    Lease.is_held = lambda self: self.fencing_token is not None
    Lease._lapse = lambda self: None


def take_any_configuration() -> None:
    """A router takes over whatever configuration a replica names, be it older."""

    def take(self: ConfigurationSnapshot, record: Any) -> bool:
        if record is None or record["mark"] == self.version:
            return False
        self.value, self.version = record, record["mark"]
        self.highest_version = record["mark"]
        self.configuration = decode_configuration(record["plan"])
        for notify in self.change_listeners:
            notify()
        return True

    ConfigurationSnapshot.take = take
    ConfigurationSnapshot.is_newer = lambda self, record: record is not None
    ConfigurationSnapshot.observe_version = lambda self, version: None
    ConfigurationWatcher._is_source = lambda self, seat, now_us: True


def pass_the_key_on() -> None:
    """A router shows the runner the last API key that it read."""
    read_key = native.take_api_key
    headers_of = adapter.RunnerClient._headers_of
    shown: dict[str, str | None] = {}

    def remember(headers: dict[str, str]) -> str | None:
        shown["key"] = key = read_key(headers)
        return key

    def add_key(self: adapter.RunnerClient, request: Any) -> dict[str, str]:
        return {**headers_of(self, request), "x-debug": str(shown.get("key"))}

    native.take_api_key = remember
    adapter.RunnerClient._headers_of = add_key


def name_no_tenant() -> None:
    """A router tells the runner no tenant."""
    adapter.RunnerClient._headers_of = lambda self, request: adapter.HEADERS


def let_any_key_in() -> None:
    """A router takes requests without a key, and with one of nobody."""
    authenticate = Authenticator.authenticate

    def lenient(self: Authenticator, kind: Any, key_digest: str | None) -> str | None:
        try:
            return authenticate(self, kind, key_digest)
        except ServiceError:
            return None

    Authenticator.authenticate = lenient


def keep_the_first_index_of_keys() -> None:
    """A router goes on with the keys of the first configuration that it had."""
    apply = Authenticator.apply_configuration

    def apply_once(self: Authenticator, configuration: Any) -> None:
        if self.tenants_by_digest is None:
            apply(self, configuration)

    Authenticator.apply_configuration = apply_once


def ask_for_no_quota() -> None:
    """A router lets in all that a tenant sends."""
    TenantQuotas.admit = lambda self, request: True


SABOTAGES: dict[str, Callable[[], None]] = {
    sabotage.__name__: sabotage
    for sabotage in (
        repeat_one_time_work,
        refuse_what_was_begun,
        answer_before_the_sync,
        order_without_a_lease,
        take_any_configuration,
        pass_the_key_on,
        name_no_tenant,
        let_any_key_in,
        keep_the_first_index_of_keys,
        ask_for_no_quota,
    )
}

BREACHED_RULES: dict[str, frozenset[str]] = {
    "repeat_one_time_work": frozenset(("one_time_work_runs_once",)),
    "refuse_what_was_begun": frozenset(("a_refusal_means_not_done",)),
    "answer_before_the_sync": frozenset(("acknowledged_plans_survive", "orders_are_linearizable")),
    "order_without_a_lease": frozenset(("orders_have_rising_fences",)),
    "take_any_configuration": frozenset(("configurations_never_go_back",)),
    "pass_the_key_on": frozenset(("runners_see_no_keys",)),
    "name_no_tenant": frozenset(("runners_see_the_holder_of_the_key",)),
    "let_any_key_in": frozenset(("unknown_keys_run_nothing",)),
    "keep_the_first_index_of_keys": frozenset(
        ("revoked_keys_run_nothing", "keys_in_force_are_accepted")
    ),
    "ask_for_no_quota": frozenset(("tenants_keep_to_their_limits",)),
}
"""The rules of `judge.py` that must find each sabotage; a breach of another one proves nothing."""

TRUSTING_RUNNERS = frozenset(("order_without_a_lease",))
"""Sabotages whose runners take any order."""

TENANT_SABOTAGES = frozenset(
    (
        "pass_the_key_on",
        "name_no_tenant",
        "let_any_key_in",
        "keep_the_first_index_of_keys",
        "ask_for_no_quota",
    )
)
"""Sabotages that show only where the deployment has tenants."""
