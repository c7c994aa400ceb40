"""Which configurations may have been in force when, by the record of a run.

A configuration may be in force from the moment at which it is put. It no longer is once a newer one
was acknowledged more than the bound ago, and it never was if it was certainly refused.
"""

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

Entry = tuple[int, str, dict[str, Any]]
"""One entry of a record: when (us), its kind, its facts."""

APPLIED_WITHIN_US = 2_200_000
"""For this long after its acknowledgement a configuration may not yet be in force everywhere."""

ALWAYS_US = 1 << 62


class Version(msgspec.Struct, frozen=True):
    """One configuration that was put, and the time in which it may have been in force."""

    document: dict[str, Any]
    mark: int
    from_us: int
    until_us: int

    @property
    def has_tenants(self) -> bool:
        """Whether requests need a key."""
        return self.document.get("tenants") is not None

    def holder_of(self, key_digest: str | None) -> str | None:
        """The tenant that holds a key, None for nobody."""
        tenants = self.document.get("tenants") or {}
        return next((name for name, each in tenants.items() if key_digest in each["keys"]), None)

    def is_public(self, kind: str) -> bool:
        """Whether requests of a kind need no key."""
        return not self.has_tenants or bool(self.document["kinds"].get(kind, {}).get("public"))


class ConfigurationHistory:
    """All versions of a record, and those of them that may have been in force at a time."""

    __slots__ = ("versions",)

    def __init__(self, record: Iterable[Entry], within_us: int = APPLIED_WITHIN_US) -> None:
        """`within_us`: how long after an acknowledgement an older version may still be in force."""
        puts: dict[str, tuple[int, dict[str, Any]]] = {}
        acknowledged: dict[str, tuple[int, int]] = {}
        refused: set[str] = set()
        for at_us, kind, facts in record:
            if kind == "put":
                puts.setdefault(facts["put_id"], (at_us, facts))
            elif kind == "acked":
                acknowledged.setdefault(facts["put_id"], (at_us, facts["mark"]))
            elif kind == "unacked" and facts["done"] == "no":
                refused.add(facts["put_id"])
        marks = {mark: put_id for put_id, (_, mark) in acknowledged.items()}
        self.versions = []
        for put_id, (put_us, facts) in puts.items():
            mark = acknowledged[put_id][1] if put_id in acknowledged else facts["expect"] + 1
            lost = marks.get(mark, put_id) != put_id
            if lost or (put_id in refused and put_id not in acknowledged):
                continue
            newer = [acked_us for acked_us, other in acknowledged.values() if other > mark]
            until_us = min(newer, default=ALWAYS_US - within_us) + within_us
            self.versions.append(Version(facts["plan"], mark, put_us, until_us))

    @property
    def has_tenants(self) -> bool:
        """Whether any version has tenants."""
        return any(version.has_tenants for version in self.versions)

    def in_force(self, from_us: int, until_us: int) -> list[Version]:
        """The versions that may have been in force at any moment between two times."""
        return [
            version
            for version in self.versions
            if version.from_us <= until_us and from_us <= version.until_us
        ]

    def ever_held(self, key_digest: str | None) -> bool:
        """Whether any version that may have been in force at some time has the key."""
        return any(version.holder_of(key_digest) is not None for version in self.versions)


def entries_of(record: Iterable[Entry], *kinds: str) -> Iterator[Entry]:
    """The entries of some kinds, in order."""
    return (entry for entry in record if entry[1] in kinds)
