"""What a node holds of the plan in force."""

from .overlay import effective_configuration


class ConfigurationSnapshot:
    """The newest plan a node holds, and the highest mark it has heard of; neither ever goes back."""

    __slots__ = ("version", "value", "configuration", "highest_version", "on_new")

    def __init__(self):
        self.version = 0
        self.value = None
        self.configuration = None
        self.highest_version = 0
        self.on_new = []

    @property
    def is_behind(self):
        return self.highest_version > self.version

    def observe_version(self, version):
        if version > self.highest_version:
            self.highest_version = version

    def is_newer(self, value):
        """Whether a value is newer than the plan held, and not older than one that was heard of."""
        return (
            value is not None
            and value["mark"] > self.version
            and value["mark"] >= self.highest_version
        )

    def take(self, value):
        """A value with its plan in it; whether it is in force here now."""
        if not self.is_newer(value):
            return False
        self.configuration = effective_configuration(value)
        self.version = value["mark"]
        self.value = value
        self.highest_version = self.version
        for hear in self.on_new:
            hear()
        return True
