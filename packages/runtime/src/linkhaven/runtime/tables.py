"""Tables of rows by name."""


class Table(dict):
    """Rows by name, in the order in which they came."""

    __slots__ = ()

    def rows(self):
        """The rows as they are now; the table may change while they are gone through."""
        return list(self.values())

    def drop(self, key):
        """Take a row out, and give it; None where there is none."""
        return self.pop(key, None)
