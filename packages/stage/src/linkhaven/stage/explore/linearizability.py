"""Linearizability checker for histories of configuration updates and reads on one register.

Uses the search of Wing and Gong with memoization of visited states.

The register holds the current configuration revision and document. An update takes effect if the
revision that it expects is the current one and its own revision is higher. An update that took
effect before is acknowledged again and changes nothing. An update whose outcome is unknown may
take effect at any time after it was sent, or never.
"""

TAKEN, REFUSED, UNCLEAR, READ = "taken", "refused", "unclear", "read"
FOREVER = float("inf")


class Operation:
    """An update or read at one member: its invocation and response times, and its response."""

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
        """Records the response: its kind, and the revision that it reports as current."""
        self.ended, self.answer, self.held = at, answer, held

    def __repr__(self):
        what = f"{self.base}->{self.revision} {self.document}" if self.verb == "put" else "read"
        return f"{self.name}: {what} [{self.begun}, {self.ended}] {self.answer} {self.held or ''}".rstrip()


class RegisterState:
    """State of the register: current revision and document, and every update applied so far."""

    __slots__ = ("revision", "document", "taken")

    def __init__(self, revision=0, document=None, taken=frozenset()):
        self.revision = revision
        self.document = document
        self.taken = taken

    def key(self):
        """Identity of the state, for recognizing visited states."""
        return self.revision, self.document, self.taken

    def _put(self, operation):
        order = (operation.revision, operation.document)
        return RegisterState(*order, self.taken | {order})

    def after(self, operation):
        """The state after the operation, or None if its response is impossible in this state."""
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
    """Indices of operations that may be linearized next.

    An operation may not come next if it began after another pending operation had ended.
    """
    left = [place for place in range(len(operations)) if not done >> place & 1]
    first_end = min((operations[place].ended for place in left), default=FOREVER)
    return [place for place in left if operations[place].begun <= first_end]


def find_update(operations):
    """A linearization of the operations as a list, or None if there is none.

    Reads and updates without a response may be left out: such a read says nothing about the state,
    and such an update may never have taken effect.
    """
    operations = [
        operation
        for operation in operations
        if operation.answer != UNCLEAR or operation.verb != READ
    ]
    needed = sum(
        1 << place for place, operation in enumerate(operations) if operation.answer != UNCLEAR
    )
    visited = set()
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
            if key not in visited:
                visited.add(key)
                stack.append((key[0], following, (*order, place)))
    return None


def is_linearizable(operations):
    """Whether a single register could have given these responses."""
    return find_update(operations) is not None
