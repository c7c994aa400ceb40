"""The messages that carry bodies of plans and documents."""

from msgspec import field

from linkhaven.runtime import Message


class Blobs(Message, tag="bodies"):
    """Packed bodies by digest: sent ahead of an accept that names them, or as an answer."""

    blobs: dict[str, str] = field(name="bodies")


class BlobRequest(Message, tag="want_bodies"):
    """Asks for the bodies of these digests; the answer has those that are held."""

    digests: list[str]
