"""What the seats of the core ask each other and routers for, and hear from them."""

from typing import Any

from linkhaven.runtime import Message


class QuorumContactRequest(Message, tag="contact_ask", frozen=True):
    """A voting seat asks another one whether it can be reached, and votes too."""

    sent_us: int
    """When it was asked, by the asker's own clock."""


class QuorumContactResponse(Message, tag="contact", frozen=True):
    """A seat that votes answers `ContactAsk`."""

    seat: str
    incarnation: int
    sent_us: int
    """As in the ask."""

    mark: int
    """The newest version of the plan that it knows chosen."""


class ConfigurationRequest(Message, tag="want_image", frozen=True):
    """A seat that holds an older plan than a router asks it for its plan."""


class ConfigurationResponse(Message, tag="image", frozen=True):
    """The plan that a router holds, in answer to `WantImage`."""

    value: dict[str, Any]
    """The value that news brought the router, with its mark; kept whole, whatever wrote it."""

    body: str
    """The plan itself, whose digest the value has."""

    def __post_init__(self):
        """Refuse a plan without a mark at the edge."""
        if type(self.value.get("mark")) is not int:
            raise ValueError("the plan's mark is no whole number")

    @property
    def mark(self):
        """The plan's version, which only rises."""
        return self.value["mark"]


class ClaimsRequest(Message, tag="want_keys", frozen=True):
    """A seat that began empty asks a router for a page of the one-time keys it won before."""

    start: str
    """Names this start of the seat; answers to an earlier one are passed over."""

    place: int
    """How many keys of the router the seat was told already."""


class ClaimsResponse(Message, tag="keys", frozen=True):
    """A page of one-time keys, in answer to `WantKeys`."""

    start: str
    place: int
    keys: list[tuple[str, str]]
    """Each key of the register with the request that won it."""

    is_last: bool
