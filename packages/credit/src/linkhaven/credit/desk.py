from linkhaven.clockwork import Table
from linkhaven.schema import Trouble

from .book import GroupBook

QUANTUM = 2_000
DEMAND_US = 2_000_000
LOOK_US = 500_000
PACE_US = 4_000_000
PATIENCE = 0.5
SETTLED_US = 2_000_000
GROWTH = 2
FIRST_US = 1_000_000


class CreditDesk:
    """Each group's own bounded queue at this router, its part of the group's credit, and the round
    in which ready groups are served. A group without credit waits alone."""

    __slots__ = (
        "node",
        "groups",
        "order",
        "cursor",
        "demand_us",
        "is_serving",
        "is_called",
        "pace_at_first",
        "on_give_up",
    )

    def __init__(self, node, pace_at_first, on_give_up):
        self.node = node
        self.pace_at_first = pace_at_first
        self.on_give_up = on_give_up
        self.groups = Table()
        self.order = []
        self.cursor = 0
        self.demand_us = node.now_us()
        self.is_serving = False
        self.is_called = False
        node.systems.append(self.tick)

    def take_plan(self, plan):
        now_us = self.node.now_us()
        for name, terms in plan["groups"].items():
            book = self.groups.get(name)
            if book is None:
                book = self.groups[name] = GroupBook(name, now_us)
            book.terms = terms
            self._set_rate(book, now_us)
        for name in [name for name in self.groups if name not in plan["groups"]]:
            if not self.groups[name].queue:
                self.groups.drop(name)
        self.order = list(self.groups)

    def _set_rate(self, book, now_us):
        """Without a share nothing is added; what was saved under one stays."""
        if not book.is_capped:
            return
        if book.share is None or now_us >= book.share_until_us:
            book.bucket.fill(now_us)
            book.bucket.rate = 0.0
            return
        rate = min(book.allowance, book.share)
        if rate != book.bucket.rate:
            book.bucket.resize(rate, rate * book.period_s, now_us)

    def take_share(self, name, rate, grant, until_us):
        book = self.groups.get(name)
        if book is None or not book.is_capped:
            return
        if book.share is None:
            book.bucket.level = rate * FIRST_US / 1_000_000
            book.bucket.size = book.bucket.level
        book.share = rate
        book.grant = grant
        book.share_until_us = until_us
        self._set_rate(book, self.node.now_us())

    def tell_demand(self):
        now_us = self.node.now_us()
        return {
            book.name: {
                "wanted": book.demand + book.queued_tokens / 2,
                "rate": book.share
                if book.share is not None and now_us < book.share_until_us
                else 0.0,
                "grant": book.grant,
            }
            for book in self.groups.values()
            if book.is_capped
        }

    def enqueue(self, group, request):
        book, now_us = self.groups[group], self.node.now_us()
        bounds = book.terms["queue"]
        is_over = len(book.queue) >= bounds["requests"] or (
            book.queue and book.queued_tokens + request.prompt_tokens > bounds["tokens"]
        )
        credit_us = book.credit_wait_us(book.queued_tokens, request.prompt_tokens, now_us)
        if credit_us and now_us + credit_us // GROWTH > request.deadline_us:
            raise Trouble("credit_spent", retry_us=credit_us, group=group, wait_us=credit_us)
        wait_us = book.wait_us(self.pace_at_first())
        is_short = credit_us > wait_us * PATIENCE
        most_us = int((request.deadline_us - now_us) * PATIENCE)
        if is_over or wait_us > (most_us if is_short else min(most_us, bounds["wait_us"])):
            told = {
                "retry_us": max(1_000_000, credit_us, wait_us),
                "group": group,
                "wait_us": max(credit_us, wait_us),
            }
            raise Trouble("credit_spent", **told) if is_short else Trouble("queue_full", **told)
        request.queued_us = now_us
        book.queue.append(request)
        book.queued_tokens += request.prompt_tokens
        book.arrived += request.prompt_tokens + request.answer_tokens // 2

    def give_up(self, now_us):
        """What can no longer have credit before its deadline hears so now. Shares follow demand within a moment, so
        a request is first judged once it has waited that long."""
        for book in self.groups.rows():
            ahead = 0
            for request in list(book.queue):
                wait_us = book.credit_wait_us(ahead, request.prompt_tokens, now_us)
                ahead += request.prompt_tokens
                if (
                    wait_us
                    and now_us - request.queued_us >= SETTLED_US
                    and now_us + wait_us > request.deadline_us
                ):
                    ahead -= request.prompt_tokens
                    self.on_give_up(
                        request,
                        Trouble("credit_spent", retry_us=wait_us, group=book.name, wait_us=wait_us),
                    )

    def is_waiting(self):
        """Whether any group's queue holds a request."""
        return any(book.queue for book in self.groups.values())

    def wait_us(self, group):
        """How long a request that joins the group's queue now would wait, by credit and by pace."""
        book = self.groups.get(group)
        if book is None:
            return 0
        return max(
            book.credit_wait_us(book.queued_tokens, 1, self.node.now_us()),
            book.wait_us(self.pace_at_first()),
        )

    def leave(self, group, request):
        book = self.groups.get(group)
        if book is None or request not in book.queue:
            return
        book.queue.remove(request)
        book.queued_tokens -= request.prompt_tokens

    def charge(self, group, tokens):
        book = self.groups.get(group)
        if book is not None:
            self._spend(book, tokens)

    def _spend(self, book, tokens):
        if book.is_capped:
            book.bucket.level -= tokens
        book.spent += tokens

    def note_refused(self, group):
        book = self.groups.get(group)
        if book is not None:
            book.refused += 1

    def tell_usage(self):
        """What each group did here; one that did nothing is not named."""
        told = {
            book.name: {
                "spent": book.spent,
                "refused": book.refused,
                "waiting": len(book.queue),
                "waiting_tokens": book.queued_tokens,
            }
            for book in self.groups.values()
        }
        return {name: usage for name, usage in told.items() if any(usage.values())}

    def has_credit(self, book, request, now_us):
        if not book.is_capped:
            return True
        return (
            book.bucket.fill(now_us) >= min(request.prompt_tokens, book.bucket.size)
            and book.bucket.size > 0
        )

    def serve(self, start):
        """start(request) answers whether the request could be begun; one that couldn't stays at the head."""
        if self.is_serving:
            self.is_called = True
            return
        self.is_serving = True
        self.is_called = True
        try:
            while self.is_called:
                self.is_called = False
                self._serve_round(start)
        finally:
            self.is_serving = False

    def _serve_round(self, start):
        now_us = self.node.now_us()
        stuck = set()
        while True:
            ready = [
                name
                for name in self.order
                if name not in stuck
                and self.groups[name].queue
                and self.has_credit(self.groups[name], self.groups[name].queue[0], now_us)
            ]
            if not ready:
                return
            self.cursor %= len(self.order)
            turn = self.order[self.cursor :] + self.order[: self.cursor]
            for name in [name for name in turn if name in ready]:
                book = self.groups[name]
                if book.queue[0].prompt_tokens > book.deficit:
                    book.deficit += QUANTUM * book.terms["weight"]
                if not self._serve_group(book, start, now_us):
                    stuck.add(name)
            self.cursor += 1

    def _serve_group(self, book, start, now_us):
        while book.queue and book.queue[0].prompt_tokens <= book.deficit:
            request = book.queue[0]
            if not self.has_credit(book, request, now_us):
                break
            is_begun = start(request)
            if not book.queue or book.queue[0] is not request:
                continue
            if not is_begun:
                return False
            book.queue.popleft()
            book.served += request.prompt_tokens
            book.queued_tokens -= request.prompt_tokens
            book.deficit -= request.prompt_tokens
            self._spend(book, request.prompt_tokens)
        if not book.queue:
            book.deficit = 0
        return True

    def tick(self, now_us):
        for book in self.groups.values():
            self._set_rate(book, now_us)
        passed_us = now_us - self.demand_us
        if passed_us < LOOK_US:
            return
        self.demand_us = now_us
        self.give_up(now_us)
        weight = min(1.0, passed_us / DEMAND_US)
        for book in self.groups.values():
            book.demand += weight * (book.arrived * 1_000_000 / passed_us - book.demand)
            book.arrived = 0
            if book.queue and book.is_busy:
                pace = book.served * 1_000_000 / passed_us
                before = self.pace_at_first() if book.pace is None else book.pace
                book.pace = before + min(1.0, passed_us / PACE_US) * (pace - before)
            elif not book.queue:
                book.pace = None
            book.is_busy = bool(book.queue)
            book.served = 0
