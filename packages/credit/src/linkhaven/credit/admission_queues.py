"""Admission control: each group's bounded queue at a router, and who is served next.

A request is refused as soon as it is known that it can't be served in time; else it waits in its
group's queue until the group has credit and its turn comes (`scheduler.py`).
"""

from linkhaven.api import ServiceError
from linkhaven.configuration import Configuration
from linkhaven.runtime import Table

from .group_account import GroupAccount
from .messages import write_fields
from .scheduler import DeficitRoundRobin

MEASURE_INTERVAL_US = 500_000
"""How often demand and service rates are measured, and hopeless requests refused."""

DEADLINE_SHARE = 0.5
"""The part of the time to its deadline that a request may spend in the queue by the estimate."""

CREDIT_BOUND_RATIO = 0.5
"""A group lacks credit if it waits for it longer than for this part of its queue's wait."""

GRANT_GROWTH = 2
"""How many times the present rate a group may be granted before a request's deadline."""

REALLOCATION_US = 2_000_000
"""Grants follow the demand within this; a queued request is not refused for credit sooner."""

RETRY_LEAST_US = 1_000_000
"""The shortest time after which a refused caller is told to try again."""


class AdmissionQueues:
    """The group accounts of one router, with admission and fair queueing.

    Errors are raised as `ServiceError`: `credit_spent` where the group lacks credit, else
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
        "on_hopeless",
        "measured_us",
    )

    def __init__(self, node, estimate_initial_rate, on_hopeless):
        """Start without groups.

        `estimate_initial_rate()` gives the service rate (tokens a second) of a queue that hasn't
        been measured; `on_hopeless(request, error)` refuses a queued request.
        """
        self.node = node
        self.estimate_initial_rate = estimate_initial_rate
        self.on_hopeless = on_hopeless
        self.accounts = Table()
        self.limited = []
        self.active = {}
        self.used = {}
        self.scheduler = DeficitRoundRobin(self.accounts)
        self.measured_us = node.now_us()
        node.systems.append(self.tick)

    # what the configuration and the allocator say

    def apply_configuration(self, configuration: Configuration) -> None:
        """Follow a configuration; a group that it no longer names goes once its queue is empty."""
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
        """Take a grant of `rate` tokens a second, unless a later one of the group is held."""
        account = self.accounts.get(group)
        if account is None or number <= account.grant_number or not account.is_limited:
            return
        account.apply_grant(rate, number, expires_us, self.node.now_us())

    def newest_grant(self):
        """Return the highest number of all grants received, 0 if there was none."""
        return max((account.grant_number for account in self.limited), default=0)

    def demand_reports(self):
        """Return a demand report, as fields of the wire, for each group with an allowance."""
        now_us = self.node.now_us()
        return {
            account.name: write_fields(account.demand_report(now_us)) for account in self.limited
        }

    def usage_reports(self):
        """Return the usage, as fields of the wire, of each group that did anything here."""
        usages = {account.name: account.usage() for account in self.used.values()}
        return {name: write_fields(usage) for name, usage in usages.items() if usage is not None}

    # what requests do

    def enqueue(self, group, request):
        """Queue a request, or raise `credit_spent` or `queue_full`."""
        account, now_us = self.accounts[group], self.node.now_us()
        self._check_admission(account, request, now_us)
        account.append(request, now_us)
        self.active[group] = self.used[group] = account
        self.scheduler.note_backlog(group)

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
            raise refusal(account, wait_us, max(RETRY_LEAST_US, wait_us))

    def _credit_spent(self, account, wait_us, retry_us):
        return ServiceError("credit_spent", retry_us=retry_us, group=account.name, wait_us=wait_us)

    def _queue_full(self, account, wait_us, retry_us):
        return ServiceError("queue_full", retry_us=retry_us, group=account.name, wait_us=wait_us)

    def remove(self, group, request):
        """Take a request out of its group's queue, if it is queued."""
        account = self.accounts.get(group)
        if account is not None:
            account.remove(request)

    def charge(self, group, tokens):
        """Spend tokens of a group's credit; those of a group that is gone don't count."""
        account = self.accounts.get(group)
        if account is not None:
            account.charge(tokens)
            self.used[group] = account

    def count_refusal(self, group):
        """Count a request that was refused before it began."""
        account = self.accounts.get(group)
        if account is not None:
            account.refused_requests += 1
            self.used[group] = account

    def serve(self, start):
        """Start queued requests in turn; see `DeficitRoundRobin.run` for `start`."""
        self.scheduler.run(start, self.node.now_us)

    # what others ask of it

    def is_waiting(self):
        """Whether any group's queue holds a request."""
        return bool(self.scheduler.waiting_groups())

    def lacks_credit(self, group):
        """Whether a group's first queued request waits for credit."""
        account = self.accounts.get(group)
        if account is None or not account.queue:
            return False
        return not account.has_credit_for(account.queue[0], self.node.now_us())

    def wait_us(self, group):
        """Estimate how long a request that joins the group's queue now would wait."""
        account = self.accounts.get(group)
        if account is None:
            return 0
        return max(
            account.credit_wait_us(account.queued_tokens, 1, self.node.now_us()),
            account.queue_wait_us(self.estimate_initial_rate()),
        )

    # what time does to it

    def tick(self, now_us):
        """Let grants expire; measure, and refuse hopeless requests, at each interval."""
        for account in self.limited:
            account.update_bucket_rate(now_us)
        elapsed_us = now_us - self.measured_us
        if elapsed_us < MEASURE_INTERVAL_US:
            return
        self.measured_us = now_us
        self._refuse_hopeless(now_us)
        initial_rate = self.estimate_initial_rate()
        for account in list(self.active.values()):
            account.measure_demand(elapsed_us)
            account.measure_service(elapsed_us, initial_rate)
            if account.is_idle():
                del self.active[account.name]

    def _refuse_hopeless(self, now_us):
        for name in list(self.scheduler.waiting_groups()):
            account, tokens_ahead = self.accounts[name], 0
            for request in list(account.queue):
                wait_us = account.credit_wait_us(tokens_ahead, request.prompt_tokens, now_us)
                if self._is_hopeless(request, wait_us, now_us):
                    self.on_hopeless(request, self._credit_spent(account, wait_us, wait_us))
                else:
                    tokens_ahead += request.prompt_tokens

    def _is_hopeless(self, request, credit_wait_us, now_us):
        """Whether credit comes after the deadline, by the grants that followed the demand."""
        if not credit_wait_us or now_us - request.queued_us < REALLOCATION_US:
            return False
        return now_us + credit_wait_us > request.deadline_us
