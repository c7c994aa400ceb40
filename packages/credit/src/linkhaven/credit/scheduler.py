"""Deficit round robin over the groups that have queued requests and credit.

Each round gives a group a quantum of prompt tokens by its weight. A group serves requests from the
head of its queue while its deficit counter covers them; the remainder is kept while the queue isn't
empty (Shreedhar and Varghese, "Efficient fair queueing using deficit round robin", 1995).
"""

QUANTUM_TOKENS = 2_000
"""The prompt tokens that a round adds to the deficit counter of a group of weight 1."""


class DeficitRoundRobin:
    """Serves the group accounts of one router in turn.

    Invariant: a group that lacks credit, or whose first request can't be started, delays no other
    group (`test_a_group_without_credit_waits_alone_and_its_overflow_is_refused`,
    `test_a_group_that_floods_delays_neither_of_the_others`).
    """

    __slots__ = (
        "accounts",
        "positions",
        "backlogged",
        "first_position",
        "is_running",
        "is_run_requested",
    )

    def __init__(self, accounts):
        """Schedule over `accounts`, a table by name whose rows may come and go.

        Only `backlogged` groups are visited, so that groups without requests cost nothing.
        """
        self.accounts = accounts
        self.positions = {}
        self.backlogged = set()
        self.first_position = 0
        self.is_running = False
        self.is_run_requested = False

    def refresh_order(self):
        """Recompute the order and the backlogged groups after the accounts changed."""
        self.positions = {name: position for position, name in enumerate(self.accounts)}
        self.backlogged = {account.name for account in self.accounts.values() if account.queue}

    def mark_backlogged(self, name):
        """Mark a group whose queue holds a request."""
        self.backlogged.add(name)

    def waiting_groups(self):
        """Return the groups whose queues hold requests."""
        self.backlogged = {name for name in self.backlogged if self.accounts[name].queue}
        return self.backlogged

    def run(self, start, now_us_of):
        """Start queued requests until none is ready.

        `start(request)` returns whether the request was started; if not, it stays at the head of
        its queue. It may call `run` again, which then only schedules another pass.
        """
        self.is_run_requested = True
        if self.is_running:
            return
        self.is_running = True
        try:
            while self.is_run_requested:
                self.is_run_requested = False
                self._run_rounds(start, now_us_of())
        finally:
            self.is_running = False

    def _run_rounds(self, start, now_us):
        blocked = set()
        while True:
            ready = self._ready_groups(blocked, now_us)
            if not ready:
                return
            for name in self._rotate(ready):
                if not self._run_turn(self.accounts[name], start, now_us):
                    blocked.add(name)
            self.first_position += 1

    def _ready_groups(self, blocked, now_us):
        return {
            name
            for name in self.waiting_groups()
            if name not in blocked and self._is_ready(self.accounts[name], now_us)
        }

    def _is_ready(self, account, now_us):
        return account.has_credit_for(account.queue[0], now_us)

    def _rotate(self, ready):
        """Return the ready groups in order, starting one position further in each round."""
        count = len(self.positions)
        self.first_position %= count
        return sorted(ready, key=lambda name: (self.positions[name] - self.first_position) % count)

    def _run_turn(self, account, start, now_us):
        """Add the quantum if needed, and serve the group.

        Returns False if a request couldn't be started.
        """
        if account.queue[0].prompt_tokens > account.deficit:
            account.deficit += QUANTUM_TOKENS * account.settings.weight
        while account.queue and account.queue[0].prompt_tokens <= account.deficit:
            request = account.queue[0]
            if not account.has_credit_for(request, now_us):
                break
            is_started = start(request)
            if not account.queue or account.queue[0] is not request:
                continue
            if not is_started:
                return False
            account.pop_served()
        if not account.queue:
            account.deficit = 0
        return True
