"""The messages of this package, their names on the wire bound to those of the code."""

from msgspec import field

from linkhaven.runtime import Message


class BlobDelivery(Message, tag="bodies"):
    """Packed blobs by digest: sent ahead of an accept that names them, or as an answer."""

    blobs: dict[str, str] = field(name="bodies")


class BlobRequest(Message, tag="want_bodies"):
    """Asks for the blobs of these digests; the answer has those that are there."""

    digests: list[str]
