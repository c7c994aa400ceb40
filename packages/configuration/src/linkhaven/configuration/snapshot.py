"""What a node knows of the configuration in force."""

from collections.abc import Callable

from .document import Configuration
from .overlay import effective_configuration, effective_document
from .records import Record, version_of
from .validation import DecodedDocument


class ConfigurationSnapshot:
    """Owns the newest configuration here and the highest known version; neither decreases.

    `value` is the record with its document included. `change_listeners` are called after each
    change. The snapshot isn't stored on disk: after a restart a controller reads it from its
    register, a router from the replicas.
    """

    __slots__ = ("version", "value", "configuration", "highest_version", "change_listeners")

    def __init__(self) -> None:
        """Start without a configuration."""
        self.version = 0
        self.value: Record | None = None
        self.configuration: Configuration | None = None
        self.highest_version = 0
        self.change_listeners: list[Callable[[], None]] = []

    @property
    def is_behind(self) -> bool:
        """Whether a newer version than the one here is known."""
        return self.highest_version > self.version

    def observe_version(self, version: int) -> None:
        """Record a version that another node named."""
        if version > self.highest_version:
            self.highest_version = version

    def is_newer(self, record: Record | None) -> bool:
        """Whether a record is newer than the one here and not older than the highest known."""
        if record is None:
            return False
        version = version_of(record)
        return version > self.version and version >= self.highest_version

    def take(self, record: Record) -> bool:
        """Put a record, with its document included, in force if it is newer; return whether it is.

        Invariant: the version in force never decreases. Test: the sabotage `take_any_image`.
        """
        if not self.is_newer(record):
            return False
        self.configuration = effective_configuration(record, self._decoded_document())
        self.version = version_of(record)
        self.value = record
        self.highest_version = self.version
        for notify in self.change_listeners:
            notify()
        return True

    def _decoded_document(self) -> DecodedDocument | None:
        """Return the document in force here with its configuration, None before the first."""
        if self.value is None or self.configuration is None:
            return None
        return DecodedDocument(effective_document(self.value), self.configuration)
