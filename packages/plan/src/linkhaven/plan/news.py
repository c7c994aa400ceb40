LATE_US = 350_000
READ_US = 100_000

KEY = "plan"


class Ask:
    __slots__ = ("back", "id", "mark", "facts", "until_us")

    def __init__(self, message, until_us):
        self.back = message["back"]
        self.id = message["id"]
        self.mark = message["mark"]
        self.facts = message
        self.until_us = until_us


class NewsDesk:
    """Core side of the news: holds each router's ask until there is something to tell or a hold runs out."""

    __slots__ = (
        "node",
        "seat",
        "proposer",
        "image",
        "asks",
        "extras",
        "on_ask",
        "is_reading",
        "read_us",
        "asked_us",
    )

    def __init__(self, node, seat, proposer, image):
        self.node = node
        self.seat = seat
        self.proposer = proposer
        self.image = image
        self.asks = {}
        self.extras = []
        self.on_ask = []
        self.is_reading = False
        self.read_us = 0
        self.asked_us = node.now_us()
        node.hearers["ask"] = self.hear_ask
        node.systems.append(self.tick)

    def hear_ask(self, message):
        self.asked_us = self.node.now_us()
        self.seat.directory.learn_seats(message["known"])
        for hear in self.on_ask:
            hear(message)
        ask = Ask(message, self.node.now_us() + self.node.terms.news_hold_us)
        if message["mark"] > self.held_mark():
            self.image.hear_mark(message["mark"])
        self.asks[ask.back] = ask
        if self._has_news(ask):
            self._answer(ask)

    def _value(self):
        return self.seat.cell(KEY).value

    def held_mark(self):
        value = self._value()
        return value["mark"] if value else 0

    def is_current(self):
        return (
            self.seat.is_voting
            and self.seat.is_known_chosen(KEY)
            and self.image.highest <= self.held_mark()
        )

    def _has_news(self, ask):
        return self.is_current() and self.held_mark() > ask.mark

    def spread(self):
        for ask in list(self.asks.values()):
            if self._has_news(ask):
                self._answer(ask)

    def answer_all(self):
        for ask in list(self.asks.values()):
            self._answer(ask)

    def _answer(self, ask):
        if self.asks.get(ask.back) is ask:
            del self.asks[ask.back]
        is_current = self.is_current()
        value = self._value()
        facts = {
            "id": ask.id,
            "seat": self.seat.seat,
            "incarnation": self.seat.incarnation,
            "is_current": is_current,
            "mark": self.held_mark(),
            "known": self.seat.known_of_all(),
        }
        if is_current and value and value["mark"] > ask.mark:
            facts["plan"] = value
        for extra in self.extras:
            extra(ask.facts, facts)
        self.node.tell(ask.back, "news", **facts)

    def tick(self, now_us):
        if not self.is_current() and self.seat.is_voting:
            self._read(now_us)
        for ask in list(self.asks.values()):
            if now_us >= ask.until_us:
                self._answer(ask)

    def _read(self, now_us):
        if self.is_reading or now_us - self.read_us < READ_US:
            return
        self.is_reading = True
        self.read_us = now_us

        def done(outcome, value):
            self.is_reading = False
            if outcome == "chosen":
                self.image.take(value)
                self.spread()

        self.proposer.read(KEY, done)


class Told:
    __slots__ = ("id", "sent_us", "confirmed_us", "incarnation")

    def __init__(self):
        self.id = None
        self.sent_us = 0
        self.confirmed_us = None
        self.incarnation = 0


class NewsReader:
    """Router side: one open ask at every core seat; the plan is confirmed as of the sending
    of the asks that a majority of seats has answered."""

    __slots__ = (
        "node",
        "directory",
        "image",
        "majority",
        "told",
        "serial",
        "facts",
        "on_news",
        "confirmed_us",
    )

    def __init__(self, node, directory, image, majority=None):
        self.node = node
        self.directory = directory
        self.image = image
        self.majority = majority or node.terms.seats // 2 + 1
        self.told = {}
        self.serial = 0
        self.facts = []
        self.on_news = []
        self.confirmed_us = None
        node.hearers["news"] = self.hear_news
        node.systems.append(self.tick)

    def is_fresh(self):
        if self.image.plan is None:
            return False
        stale_us = self.node.terms.plan_stale_us
        if stale_us is None:
            return True
        if self.image.is_behind or self.confirmed_us is None:
            return False
        return self.node.now_us() - self.confirmed_us <= stale_us

    def _ask(self, seat, address, now_us):
        told = self.told.get(seat)
        if told is None:
            told = self.told[seat] = Told()
        self.serial += 1
        told.id = f"{self.serial}"
        told.sent_us = now_us
        known = {seat: incarnation for seat, (_, incarnation) in self.directory.seats().items()}
        facts = {"id": told.id, "mark": self.image.mark, "known": known}
        for add in self.facts:
            add(facts)
        self.node.tell(address, "ask", **facts)

    def hear_news(self, message):
        told = self.told.get(message["seat"])
        if told is None or told.id != message["id"]:
            return
        self.directory.learn_seats(message["known"])
        known = self.directory.seats().get(message["seat"])
        is_newest = known is not None and known[1] <= message["incarnation"]
        if is_newest and message["is_current"]:
            self.image.hear_mark(message["mark"])
            self.image.take(message.get("plan"))
            if self.image.mark >= message["mark"]:
                told.confirmed_us = told.sent_us
                told.incarnation = message["incarnation"]
                self._confirm()
        for hear in self.on_news:
            hear(message, told.sent_us)
        told.id = None
        if known is not None:
            self._ask(message["seat"], known[0], self.node.now_us())

    def _confirm(self):
        seats = self.directory.seats()
        sent = sorted(
            (
                told.confirmed_us
                for seat, told in self.told.items()
                if told.confirmed_us is not None
                and seat in seats
                and told.incarnation >= seats[seat][1]
            ),
            reverse=True,
        )
        if len(sent) >= self.majority:
            self.confirmed_us = sent[self.majority - 1]

    def tick(self, now_us):
        for seat, (address, _) in self.directory.seats().items():
            told = self.told.get(seat)
            if (
                told is None
                or told.id is None
                or now_us - told.sent_us > self.node.terms.news_hold_us + LATE_US
            ):
                self._ask(seat, address, now_us)
