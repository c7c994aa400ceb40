"""The messages that carry bodies of plans and documents."""

from linkhaven.runtime import Message


class Bodies(Message, tag="bodies"):
    """Packed bodies by digest: sent ahead of an accept that names them, or as an answer."""

    bodies: dict[str, str]


class WantBodies(Message, tag="want_bodies"):
    """Asks for the bodies of these digests; the answer has those that are held."""

    digests: list[str]
