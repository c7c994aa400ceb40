"""The bodies of plans and documents, named by their digests and stored apart from the votes.

A value of the plan key is small: it names its plan and its document by digest. A body is sent once
to each seat, by the proposer that made it, right before the accept that names it; whoever lacks one
asks for it. No seat votes for a value before its bodies stand on its disk: an accept that names a
body which is missing waits here, and so does a page of a rejoin. A body that is held but not yet
synced is written in the same turn, before the vote is: the disk keeps the writes of one turn
together or not at all, so no vote is ever kept without its bodies."""

from collections import OrderedDict

from linkhaven.runtime import read_json

from .history import digest_of
from .messages import BlobRequest, Blobs
from .packing import BlobMismatchError, open_blob, pack_blob, write_plan

KEY = "plan"
STORED = "body/"
PLAN, DOCUMENT = "plan", "document"
KEPT_BLOBS = 24
WAITING_AT_MOST = 32
ASK_AGAIN_US = 100_000
WAIT_MOST_US = 2_000_000


def digests_of(value):
    """The bodies that a value of the plan key names; none in one of before bodies stood apart."""
    return list(((value or {}).get("bodies") or {}).values())


def name_blobs(plan, document):
    """What each part of a value is named, and the text of each name."""
    texts = {PLAN: write_plan(plan)}
    if document is not None:
        texts[DOCUMENT] = document
    names = {part: digest_of(text) for part, text in texts.items()}
    return names, {names[part]: text for part, text in texts.items()}


class Waiting:
    """Something that goes on when its bodies are held, or is given up at a time."""

    __slots__ = ("digests", "go_on", "give_up", "until_us")

    def __init__(self, digests, go_on, give_up, until_us):
        self.digests = digests
        self.go_on = go_on
        self.give_up = give_up
        self.until_us = until_us


class Wanted:
    """A body that is asked for: of whom first, and when it was asked for last."""

    __slots__ = ("hint", "asked_us", "tries")

    def __init__(self, hint):
        self.hint = hint
        self.asked_us = None
        self.tries = 0


class BlobStore:
    """The bodies that this node holds, in memory and, where it is a seat, on its disk."""

    __slots__ = ("node", "replica", "held", "synced", "writing", "wanted", "waiting")

    def __init__(self, node, replica):
        """Takes over the hearers of the messages that bring values: create it after the seat."""
        self.node = node
        self.replica = replica
        self.held = OrderedDict()
        self.synced = set()
        self.writing = set()
        self.wanted = {}
        self.waiting = []
        self._load()
        replica.on_retired.append(self._forget_disk)
        self._guard("accept", self._values_of_accept)
        self._guard("rejoin_page", self._values_of_page)
        self._guard("holders_late", self._values_of_late)
        node.register_handler(BlobRequest, self._on_want)
        node.register_handler(Blobs, self._on_bodies)
        node.systems.append(self._tick)

    def _load(self):
        for key, packed in self.node.ports.storage.load().items():
            if key.startswith(STORED) and self.take(key[len(STORED) :], packed):
                self.synced.add(key[len(STORED) :])

    def _forget_disk(self):
        """A seat that retires drops all that it kept; what it still writes then counts for nothing."""
        self.synced.clear()
        self.writing.clear()

    # What is held

    def has(self, value):
        """Whether all that the value names is held."""
        return all(digest in self.held for digest in digests_of(value))

    def has_plan(self, value):
        """Whether the value's plan is held, be it in the value itself as before."""
        if value is None or "bodies" not in value:
            return value is not None
        return value["bodies"][PLAN] in self.held

    def named_plan(self, value):
        """The digest of a value's plan, and the plan packed. Its body must be held."""
        if "bodies" in value:
            digest = value["bodies"][PLAN]
            return digest, self.held[digest]
        text = write_plan(value["plan"])
        return digest_of(text), pack_blob(text)

    def plan_of(self, value):
        """The plan that a value names. Its body must be held."""
        if "bodies" not in value:
            return value["plan"]
        return read_json(self._text(value["bodies"][PLAN]))

    def document_of(self, value):
        """The document that a value names, or None. Its body must be held."""
        if "bodies" not in value:
            return value.get("document")
        digest = value["bodies"].get(DOCUMENT)
        return None if digest is None else self._text(digest)

    def opened(self, value):
        """The value with its plan and its document in it."""
        return {**value, "plan": self.plan_of(value), "document": self.document_of(value)}

    def with_plan(self, value):
        """The value with its plan in it, as a node's image takes it."""
        return {**value, "plan": self.plan_of(value)}

    def _text(self, digest):
        return open_blob(digest, self.held[digest])

    def put(self, text):
        """A body made here; answers its digest."""
        digest = digest_of(text)
        if digest not in self.held:
            self._hold(digest, pack_blob(text))
        return digest

    def take(self, digest, packed):
        """A body that came from elsewhere; whether it is the one of its name."""
        if digest in self.held:
            return True
        try:
            open_blob(digest, packed)
        except BlobMismatchError as fault:
            self.node.ports.log(1304, digest=digest, why=str(fault))
            return False
        self._hold(digest, packed)
        return True

    def _hold(self, digest, packed):
        self.held[digest] = packed
        self.wanted.pop(digest, None)
        kept = {*self._named_here(), *self.writing}
        for waiting in self.waiting:
            kept.update(waiting.digests)
        for other in list(self.held):
            if len(self.held) <= KEPT_BLOBS:
                return
            if other not in kept and other != digest:
                del self.held[other]

    def _named_here(self):
        return digests_of(self.replica.register_state(KEY).value)

    # The disk

    def _write(self, digests):
        """Before a vote is, in the same turn: the bodies that the disk lacks, and what it drops."""
        lacking = [digest for digest in digests if digest not in {*self.synced, *self.writing}]
        dropped = self.synced.difference(digests, self._named_here())
        if not lacking and not dropped:
            return
        self.writing.update(lacking)
        self.synced.difference_update(dropped)
        records = {f"{STORED}{digest}": None for digest in dropped}
        records.update({f"{STORED}{digest}": self.held[digest] for digest in lacking})

        def done(is_kept):
            written = self.writing.intersection(lacking)
            self.writing.difference_update(written)
            if is_kept:
                self.synced.update(written)

        self.node.ports.storage.write(records, done)

    # Votes and pages that must wait

    def _guard(self, say, values_of):
        hear = self.node.map_handlers[say]

        def hear_when_held(message):
            digests = [digest for value in values_of(message) for digest in digests_of(value)]

            def go_on():
                self._write(digests)
                hear(message)

            self.when_held(digests, go_on, lambda: None, message["back"])

        self.node.map_handlers[say] = hear_when_held

    def _values_of_accept(self, message):
        is_for_vote = message["key"] == KEY and self.replica.is_voting
        return [message["value"]] if is_for_vote else []

    def _values_of_page(self, message):
        cell = message["cells"].get(KEY)
        return [cell[2]] if cell else []

    def _values_of_late(self, message):
        cell = message["cells"].get(KEY)
        return [cell[1]] if cell else []

    def when_held(self, digests, go_on, give_up, hint=None):
        """Goes on now, or as soon as all bodies have come; asks `hint` first, then every seat in turn."""
        lacking = [digest for digest in digests if digest not in self.held]
        if not lacking:
            return go_on()
        now_us = self.node.now_us()
        if len(self.waiting) >= WAITING_AT_MOST:
            self.waiting.pop(0).give_up()
        self.waiting.append(Waiting(digests, go_on, give_up, now_us + WAIT_MOST_US))
        for digest in lacking:
            self.wanted.setdefault(digest, Wanted(hint))
        self._ask(now_us)

    def gather(self, value, done):
        """done(is_held) for all that the value names."""
        self.when_held(digests_of(value), lambda: done(True), lambda: done(False))

    def _go_on(self):
        ready = [one for one in self.waiting if all(digest in self.held for digest in one.digests)]
        self.waiting = [one for one in self.waiting if one not in ready]
        for one in ready:
            one.go_on()

    # The wire

    def send(self, texts):
        """Bodies made here, to every seat, ahead of the accept that names them."""
        blobs = {digest: self.held[digest] for digest in map(self.put, texts)}
        for address, _ in self.replica.directory.replicas().values():
            if blobs and address != self.node.address:
                self.node.send(address, Blobs(blobs=blobs))

    def _ask(self, now_us):
        asked = {}
        for digest, wanted in self.wanted.items():
            if wanted.asked_us is not None and now_us - wanted.asked_us < ASK_AGAIN_US:
                continue
            source = self._source_of(wanted)
            wanted.asked_us = now_us
            wanted.tries += 1
            if source is not None:
                asked.setdefault(source, []).append(digest)
        for address, digests in asked.items():
            self.node.send(address, BlobRequest(digests=digests))

    def _source_of(self, wanted):
        if wanted.tries == 0 and wanted.hint not in (None, self.node.address):
            return wanted.hint
        others = [
            address
            for address, _ in self.replica.directory.replicas().values()
            if address != self.node.address
        ]
        return others[wanted.tries % len(others)] if others else None

    def _on_want(self, message):
        blobs = {digest: self.held[digest] for digest in message.digests if digest in self.held}
        if blobs:
            self.node.send(message.reply_to, Blobs(blobs=blobs))

    def _on_bodies(self, message):
        for digest, packed in message.blobs.items():
            self.take(digest, packed)
        self._go_on()

    def _tick(self, now_us):
        named = self._named_here()
        for digest in named:
            if digest not in self.held:
                self.wanted.setdefault(digest, Wanted(None))
        late = [one for one in self.waiting if now_us >= one.until_us]
        self.waiting = [one for one in self.waiting if one not in late]
        for one in late:
            one.give_up()
        needed = {*named, *(digest for one in self.waiting for digest in one.digests)}
        self.wanted = {digest: one for digest, one in self.wanted.items() if digest in needed}
        self._ask(now_us)
