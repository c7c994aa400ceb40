"""Tables of rows by name."""

from typing import TypeVar

Row = TypeVar("Row")


class Table(dict[str, Row]):
    """Rows by name, in the order in which they came."""

    __slots__ = ()

    def rows(self) -> list[Row]:
        """The rows as they are now; the table may change while they are gone through."""
        return list(self.values())

    def drop(self, key: str) -> Row | None:
        """Take a row out, and return it; None where there is none."""
        return self.pop(key, None)
