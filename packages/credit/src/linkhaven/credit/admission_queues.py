"""Admission control: bounded queues of the groups at a router, and fair queueing between them.

A request is refused as soon as it is known that it can't be served in time. Otherwise it waits in
its group's queue until the group has credit and is scheduled (`scheduler.py`).
"""

from linkhaven.api import ServiceError
from linkhaven.configuration import Configuration
from linkhaven.runtime import Table

from .group_account import GroupAccount
from .messages import write_fields
from .scheduler import DeficitRoundRobin

MEASURE_INTERVAL_US = 500_000
"""How often demand and service rates are measured, and requests that will be late refused."""

DEADLINE_SHARE = 0.5
"""The fraction of the time to its deadline that a request may be expected to queue."""

CREDIT_BOUND_RATIO = 0.5
"""A group is bound by credit if its wait for credit exceeds this fraction of its queue's wait."""

GRANT_GROWTH = 2
"""The factor by which a group's granted rate may grow before a request's deadline."""

REALLOCATION_US = 2_000_000
"""Grants follow demand within this time; queued requests aren't refused for credit sooner."""

MIN_RETRY_US = 1_000_000
"""The shortest retry delay for refused callers."""


class AdmissionQueues:
    """The group accounts of one router, with admission and fair queueing.

    Errors are raised as `ServiceError`: `credit_spent` if the group lacks credit, else
    `queue_full`.
    """

    __slots__ = (
        "node",
        "accounts",
        "limited",
        "active",
        "used",
        "scheduler",
        "estimate_initial_rate",
        "refuse_queued",
        "measured_us",
    )

    def __init__(self, node, estimate_initial_rate, refuse_queued):
        """Start without groups.

        `estimate_initial_rate()` returns the service rate (tokens per second) of a queue that
        hasn't been measured; `refuse_queued(request, error)` refuses a queued request.
        """
        self.node = node
        self.estimate_initial_rate = estimate_initial_rate
        self.refuse_queued = refuse_queued
        self.accounts = Table()
        self.limited = []
        self.active = {}
        self.used = {}
        self.scheduler = DeficitRoundRobin(self.accounts)
        self.measured_us = node.now_us()
        node.tick_handlers.append(self.tick)

    # configuration, grants and reports

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration; a removed group is dropped once its queue is empty."""
        now_us = self.node.now_us()
        for name, group in configuration.groups.items():
            account = self.accounts.get(name)
            if account is None:
                account = self.accounts[name] = GroupAccount(name, now_us)
            account.settings = group
            account.update_bucket_rate(now_us)
        for account in self.accounts.rows():
            if account.name not in configuration.groups and not account.queue:
                self.accounts.drop(account.name)
        self.limited = [account for account in self.accounts.values() if account.is_limited]
        for kept in (self.active, self.used):
            for name in [name for name in kept if name not in self.accounts]:
                del kept[name]
        self.scheduler.refresh_order()

    def apply_grant(self, group, rate, number, expires_us):
        """Apply a grant of `rate` tokens per second, unless a later one of the group is held."""
        account = self.accounts.get(group)
        if account is None or number <= account.grant_number or not account.is_limited:
            return
        account.apply_grant(rate, number, expires_us, self.node.now_us())

    def newest_grant(self):
        """Return the highest number of all received grants, 0 if there was none."""
        return max((account.grant_number for account in self.limited), default=0)

    def demand_reports(self):
        """Return a demand report, as wire fields, for each group with an allowance."""
        now_us = self.node.now_us()
        return {
            account.name: write_fields(account.demand_report(now_us)) for account in self.limited
        }

    def usage_reports(self):
        """Return the usage, as wire fields, of each group with any usage here."""
        usages = {account.name: account.usage() for account in self.used.values()}
        return {name: write_fields(usage) for name, usage in usages.items() if usage is not None}

    # requests

    def enqueue(self, group, request):
        """Queue a request, or raise `ServiceError` `credit_spent` or `queue_full`."""
        account, now_us = self.accounts[group], self.node.now_us()
        self._check_admission(account, request, now_us)
        account.append(request, now_us)
        self.active[group] = self.used[group] = account
        self.scheduler.mark_backlogged(group)

    def _check_admission(self, account, request, now_us):
        credit_wait_us = account.credit_wait_us(
            account.queued_tokens, request.prompt_tokens, now_us
        )
        if credit_wait_us and now_us + credit_wait_us // GRANT_GROWTH > request.deadline_us:
            raise self._credit_spent(account, credit_wait_us, credit_wait_us)
        queue_wait_us = account.queue_wait_us(self.estimate_initial_rate())
        is_credit_bound = credit_wait_us > queue_wait_us * CREDIT_BOUND_RATIO
        longest_wait_us = int((request.deadline_us - now_us) * DEADLINE_SHARE)
        if not is_credit_bound:
            longest_wait_us = min(longest_wait_us, account.settings.queue.wait_us)
        if account.is_full_for(request.prompt_tokens) or queue_wait_us > longest_wait_us:
            refusal = self._credit_spent if is_credit_bound else self._queue_full
            wait_us = max(credit_wait_us, queue_wait_us)
            raise refusal(account, wait_us, max(MIN_RETRY_US, wait_us))

    def _credit_spent(self, account, wait_us, retry_us):
        return ServiceError("credit_spent", retry_us=retry_us, group=account.name, wait_us=wait_us)

    def _queue_full(self, account, wait_us, retry_us):
        return ServiceError("queue_full", retry_us=retry_us, group=account.name, wait_us=wait_us)

    def remove(self, group, request):
        """Remove a request from its group's queue, if it is queued."""
        account = self.accounts.get(group)
        if account is not None:
            account.remove(request)

    def charge(self, group, tokens):
        """Spend tokens of a group's credit; tokens of a removed group don't count."""
        account = self.accounts.get(group)
        if account is not None:
            account.charge(tokens)
            self.used[group] = account

    def count_refusal(self, group):
        """Count a request of a group that was refused before it began."""
        account = self.accounts.get(group)
        if account is not None:
            account.refused_requests += 1
            self.used[group] = account

    def serve(self, start):
        """Start queued requests in fair order; see `DeficitRoundRobin.run` for `start`."""
        self.scheduler.run(start, self.node.now_us)

    # state of the queues

    def is_waiting(self):
        """Whether any group's queue holds a request."""
        return bool(self.scheduler.waiting_groups())

    def lacks_credit(self, group):
        """Whether a group's first queued request is waiting for credit."""
        account = self.accounts.get(group)
        if account is None or not account.queue:
            return False
        return not account.has_credit_for(account.queue[0], self.node.now_us())

    def wait_us(self, group):
        """Estimate the wait in microseconds of a request that joins the group's queue now."""
        account = self.accounts.get(group)
        if account is None:
            return 0
        return max(
            account.credit_wait_us(account.queued_tokens, 1, self.node.now_us()),
            account.queue_wait_us(self.estimate_initial_rate()),
        )

    # periodic work

    def tick(self, now_us):
        """Expire grants; at each interval, measure rates and refuse requests that will be late."""
        for account in self.limited:
            account.update_bucket_rate(now_us)
        elapsed_us = now_us - self.measured_us
        if elapsed_us < MEASURE_INTERVAL_US:
            return
        self.measured_us = now_us
        self._refuse_unservable(now_us)
        initial_rate = self.estimate_initial_rate()
        for account in list(self.active.values()):
            account.measure_demand(elapsed_us)
            account.measure_service(elapsed_us, initial_rate)
            if account.is_idle():
                del self.active[account.name]

    def _refuse_unservable(self, now_us):
        for name in list(self.scheduler.waiting_groups()):
            account, tokens_ahead = self.accounts[name], 0
            for request in list(account.queue):
                wait_us = account.credit_wait_us(tokens_ahead, request.prompt_tokens, now_us)
                if self._misses_deadline(request, wait_us, now_us):
                    self.refuse_queued(request, self._credit_spent(account, wait_us, wait_us))
                else:
                    tokens_ahead += request.prompt_tokens

    def _misses_deadline(self, request, credit_wait_us, now_us):
        """Whether credit comes after the deadline, once grants have had time to follow demand."""
        if not credit_wait_us or now_us - request.queued_us < REALLOCATION_US:
            return False
        return now_us + credit_wait_us > request.deadline_us
