"""Whether a history of operators' orders and reads could have come from one register that does one thing at a
time: the search of Wing and Gong, with the states met before recognized.

The register holds the number of the document in force. An order takes effect when the number that it expects is
in force and its own is higher. One that took effect before is acknowledged again and changes nothing. An order
whose answer is unclear may take effect at any moment after it was sent, or never."""

TAKEN, REFUSED, UNCLEAR, READ = "taken", "refused", "unclear", "read"
FOREVER = float("inf")


class Operation:
    """One order or read at one member: from when it was sent until it was answered, and what was answered."""

    __slots__ = ("name", "verb", "base", "revision", "document", "begun", "ended", "answer", "held")

    def __init__(self, name, verb, begun, base=0, revision=0, document=None):
        self.name = name
        self.verb = verb
        self.base = base
        self.revision = revision
        self.document = document
        self.begun = begun
        self.ended = FOREVER
        self.answer = UNCLEAR
        self.held = None

    def end(self, at, answer, held=None):
        """The answer came: what it says, and the number that it says was in force."""
        self.ended, self.answer, self.held = at, answer, held

    def __repr__(self):
        what = f"{self.base}->{self.revision} {self.document}" if self.verb == "put" else "read"
        return f"{self.name}: {what} [{self.begun}, {self.ended}] {self.answer} {self.held or ''}".rstrip()


class RegisterState:
    """What is in force, and every order that took effect."""

    __slots__ = ("revision", "document", "taken")

    def __init__(self, revision=0, document=None, taken=frozenset()):
        self.revision = revision
        self.document = document
        self.taken = taken

    def key(self):
        """What tells two states apart."""
        return self.revision, self.document, self.taken

    def _put(self, operation):
        order = (operation.revision, operation.document)
        return RegisterState(*order, self.taken | {order})

    def after(self, operation):
        """The state that the operation leaves, or None where its answer can't be given in this state."""
        if operation.verb == READ:
            fits = operation.held == (self.revision, self.document)
            return self if fits else None
        is_known = (operation.revision, operation.document) in self.taken
        fits = operation.base == self.revision and operation.revision > self.revision
        if operation.answer == REFUSED:
            return None if is_known or fits else self
        if is_known:
            return self
        return self._put(operation) if fits else None


def _candidates(operations, done):
    """Those that may come next: none that began after another, not done yet, had ended."""
    left = [place for place in range(len(operations)) if not done >> place & 1]
    first_end = min((operations[place].ended for place in left), default=FOREVER)
    return [place for place in left if operations[place].begun <= first_end]


def find_update(operations):
    """An order of the operations that explains all answers, as a list, or None where there is none.

    Reads and orders without an answer may stay out: the former tell nothing, the latter may never take effect."""
    operations = [
        operation
        for operation in operations
        if operation.answer != UNCLEAR or operation.verb != READ
    ]
    needed = sum(
        1 << place for place, operation in enumerate(operations) if operation.answer != UNCLEAR
    )
    met = set()
    stack = [(0, RegisterState(), ())]
    while stack:
        done, state, order = stack.pop()
        if done & needed == needed:
            return [operations[place] for place in order]
        for place in _candidates(operations, done):
            following = state.after(operations[place])
            is_idle = following is state and operations[place].answer == UNCLEAR
            if following is None or is_idle:
                continue
            key = (done | 1 << place, following.key())
            if key not in met:
                met.add(key)
                stack.append((key[0], following, (*order, place)))
    return None


def is_linearizable(operations):
    """Whether one register could have given these answers."""
    return find_update(operations) is not None
