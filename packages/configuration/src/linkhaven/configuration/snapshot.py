"""What a node knows of the configuration in force."""

from collections.abc import Callable

from .document import Configuration
from .overlay import effective_configuration
from .records import Record, version_of


class ConfigurationSnapshot:
    """Owns the newest configuration here, and the highest version heard of; neither goes back.

    `value` is the record, with its document in it. The snapshot isn't kept on disk: a controller
    takes it from its register again, a router from the replicas.
    """

    __slots__ = ("version", "value", "configuration", "highest_version", "change_listeners")

    def __init__(self) -> None:
        """Nothing is in force yet."""
        self.version = 0
        self.value: Record | None = None
        self.configuration: Configuration | None = None
        self.highest_version = 0
        self.change_listeners: list[Callable[[], None]] = []

    @property
    def is_behind(self) -> bool:
        """Whether a newer version than the one here was heard of."""
        return self.highest_version > self.version

    def observe_version(self, version: int) -> None:
        """Note a version that another node named."""
        if version > self.highest_version:
            self.highest_version = version

    def is_newer(self, record: Record | None) -> bool:
        """Whether a record is newer than the one here, and not older than one heard of."""
        if record is None:
            return False
        version = version_of(record)
        return version > self.version and version >= self.highest_version

    def take(self, record: Record) -> bool:
        """Put a record with its document in force here, if it is newer; return whether it is.

        Invariant: the version in force never goes back. Test: the sabotage `take_any_image`.
        """
        if not self.is_newer(record):
            return False
        self.configuration = effective_configuration(record)
        self.version = version_of(record)
        self.value = record
        self.highest_version = self.version
        for notify in self.change_listeners:
            notify()
        return True
