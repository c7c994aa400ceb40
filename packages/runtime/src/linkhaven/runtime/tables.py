"""Tables of rows by name."""

from typing import TypeVar

Row = TypeVar("Row")


class Table(dict[str, Row]):
    """Rows by name, in insertion order."""

    __slots__ = ()

    def rows(self) -> list[Row]:
        """Return a copy of the rows, so that the table may change during an iteration."""
        return list(self.values())

    def drop(self, key: str) -> Row | None:
        """Remove a row and return it; None if there is none."""
        return self.pop(key, None)
