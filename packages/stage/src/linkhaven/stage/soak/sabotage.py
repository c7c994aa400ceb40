"""Mechanisms that a soak can disable in its nodes, to show that its judge detects the breach.

Each sabotage patches classes in the process it is applied in, before the node is built.
"""

from collections.abc import Callable
from typing import Any

from linkhaven.api import ServiceError
from linkhaven.configuration import (
    ConfigurationSnapshot,
    ConfigurationWatcher,
    decode_configuration,
    validation,
)
from linkhaven.controller.storage import LmdbStorage
from linkhaven.credit.tenant_quota import TenantQuotas
from linkhaven.leases import Lease
from linkhaven.router import native
from linkhaven.router.attempts import Attempts
from linkhaven.router.authentication import Authenticator
from linkhaven.runner import adapter

UNSYNCED_US = 1_000_000
"""How long `answer_before_the_sync` keeps acknowledged writes in memory only."""


def repeat_one_time_work() -> None:
    """Retry a one-time request even if it may have started."""
    Attempts.is_safe_to_retry = lambda self, request: True


def refuse_what_was_begun() -> None:
    """Refuse a request whose work may have started as one that never ran."""
    Attempts._with_unknown_outcome = lambda self, error: ServiceError(
        "no_runner", retry_us=1_000_000
    )


def answer_before_the_sync() -> None:
    """Acknowledge a replica's writes one second before they are synced to disk."""
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
    """Let a former lease holder keep sending orders; its runners don't check fencing tokens."""
    Lease.is_held = lambda self: self.fencing_token is not None
    Lease._lapse = lambda self: None


def take_any_configuration() -> None:
    """Let a router apply any configuration that a replica names, even an older one."""

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


def take_any_pool_of_an_empty_list() -> None:
    """Let a controller accept a kind of any pool if the plan's list of pools is empty."""
    list_pool_faults = validation._list_pool_faults
    validation._list_pool_faults = lambda name, kind, pools: list_pool_faults(
        name, kind, pools or None
    )


def pass_the_key_on() -> None:
    """Let a router send the runner the last API key that it read."""
    read_key = native.take_api_key
    headers_of = adapter.RunnerClient._headers_of
    last_key: dict[str, str | None] = {}

    def read_and_remember(headers: dict[str, str]) -> str | None:
        last_key["key"] = key = read_key(headers)
        return key

    def add_key(self: adapter.RunnerClient, request: Any) -> dict[str, str]:
        return {**headers_of(self, request), "x-debug": str(last_key.get("key"))}

    native.take_api_key = read_and_remember
    adapter.RunnerClient._headers_of = add_key


def name_no_tenant() -> None:
    """Let a router send the runner no tenant name."""
    adapter.RunnerClient._headers_of = lambda self, request: adapter.HEADERS


def let_any_key_in() -> None:
    """Let a router accept requests without a key or with an unknown one."""
    authenticate = Authenticator.authenticate

    def authenticate_or_admit(self: Authenticator, kind: Any, key_digest: str | None) -> str | None:
        try:
            return authenticate(self, kind, key_digest)
        except ServiceError:
            return None

    Authenticator.authenticate = authenticate_or_admit


def keep_the_first_index_of_keys() -> None:
    """Let a router keep using the keys of its first configuration."""
    apply = Authenticator.apply_configuration

    def apply_once(self: Authenticator, configuration: Any) -> None:
        if self.tenants_by_digest is None:
            apply(self, configuration)

    Authenticator.apply_configuration = apply_once


def ask_for_no_quota() -> None:
    """Let a router admit every request of a tenant."""
    TenantQuotas.admit = lambda self, request: True


SABOTAGES: dict[str, Callable[[], None]] = {
    sabotage.__name__: sabotage
    for sabotage in (
        repeat_one_time_work,
        refuse_what_was_begun,
        answer_before_the_sync,
        order_without_a_lease,
        take_any_configuration,
        take_any_pool_of_an_empty_list,
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
    "take_any_pool_of_an_empty_list": frozenset(("invalid_plans_are_rejected",)),
    "pass_the_key_on": frozenset(("runners_see_no_keys",)),
    "name_no_tenant": frozenset(("runners_see_the_holder_of_the_key",)),
    "let_any_key_in": frozenset(("unknown_keys_run_nothing",)),
    "keep_the_first_index_of_keys": frozenset(
        ("revoked_keys_run_nothing", "keys_in_force_are_accepted")
    ),
    "ask_for_no_quota": frozenset(("tenants_keep_to_their_limits",)),
}
"""The rules of `judge.py` that must detect each sabotage; breaches of other rules don't count."""

TRUSTING_RUNNERS = frozenset(("order_without_a_lease",))
"""Sabotages whose runners accept orders with any fencing token."""

TENANT_SABOTAGES = frozenset(
    (
        "pass_the_key_on",
        "name_no_tenant",
        "let_any_key_in",
        "keep_the_first_index_of_keys",
        "ask_for_no_quota",
    )
)
"""Sabotages that can be detected only if the deployment has tenants."""
