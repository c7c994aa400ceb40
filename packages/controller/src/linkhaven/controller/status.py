"""The status of the core: its members, their incarnations, who learns, what loss could be borne.

The node that is asked asks every member of the core that it knows, and answers when all have
answered or after `ANSWER_TIMEOUT_US`, so that a silent member stands as silent instead of as it
was heard last.

| message | then |
| --- | --- |
| `MemberStatusRequest` | `MemberStatusResponse` to the asker, at once |
| `MemberStatusResponse` of an open query | noted; the query is answered after the last one |
| `MemberStatusResponse` of a query that is over | passed over |
"""

from typing import Any, Protocol

from msgspec import to_builtins

from linkhaven.membership import Membership
from linkhaven.runtime import Node

from .messages import MemberStatus, MemberStatusRequest, MemberStatusResponse

ANSWER_TIMEOUT_US = 400_000
"""How long a query waits for the others."""

MAX_QUERIES = 16
"""Open queries; the oldest is answered with what it has when another comes."""

SILENT = "silent"
"""The state of a member that didn't answer."""

VOTING = "voting"


class LocalStatus(Protocol):
    """What this node knows of itself and of the core."""

    def member(self) -> MemberStatus:
        """How this node stands."""

    def facts(self) -> dict[str, Any]:
        """What the asked node adds to the members' statuses."""

    def majority(self) -> int:
        """How many replicas must answer."""


class StatusQuery:
    """One call that waits for the others' answers."""

    __slots__ = ("call", "until_us", "missing", "answers")

    def __init__(self, call: Any, until_us: int, missing: set[str]) -> None:
        """`missing`: the names of those that haven't answered yet."""
        self.call = call
        self.until_us = until_us
        self.missing = missing
        self.answers: dict[str, MemberStatus] = {}


class ClusterStatus:
    """Answers GET /v1/core from what each member of the core says of itself."""

    __slots__ = ("node", "membership", "local", "queries", "serial")

    def __init__(self, node: Node, membership: Membership, local: LocalStatus) -> None:
        """No query is open."""
        self.node = node
        self.membership = membership
        self.local = local
        self.queries: dict[int, StatusQuery] = {}
        self.serial = 0
        node.register_handler(MemberStatusRequest, self.on_request)
        node.register_handler(MemberStatusResponse, self.on_response)

    def serve(self, call: Any) -> None:
        """Ask all; the answer goes out from `on_response` or `tick`."""
        members = [
            member
            for member in self.membership.peers.values()
            if member.kind == "registry" and not member.has_left
        ]
        self.serial += 1
        until_us = self.node.now_us() + ANSWER_TIMEOUT_US
        query = StatusQuery(call, until_us, {member.name for member in members})
        while len(self.queries) >= MAX_QUERIES:
            self._answer(next(iter(self.queries)))
        self.queries[self.serial] = query
        for member in members:
            self.node.send(member.address, MemberStatusRequest(self.serial))
        if not members:
            self._answer(self.serial)

    def on_request(self, message: MemberStatusRequest) -> None:
        """Say how this node stands."""
        response = MemberStatusResponse(message.id, self.local.member())
        self.node.send(message.reply_to, response)

    def on_response(self, message: MemberStatusResponse) -> None:
        """Answer the query once the last member has answered."""
        query = self.queries.get(message.id)
        if query is None:
            return
        sender = str(message.sender)
        query.missing.discard(sender)
        query.answers[sender] = message.member
        if not query.missing:
            self._answer(message.id)

    def tick(self, now_us: int) -> None:
        """Answer the queries whose time is over."""
        for serial in [
            serial for serial, query in self.queries.items() if now_us >= query.until_us
        ]:
            self._answer(serial)

    def _answer(self, serial: int) -> None:
        query = self.queries.pop(serial)
        members = {self.node.name: self.local.member(), **query.answers}
        for name in query.missing:
            members[name] = self._silent(name)
        facts = {
            **self.local.facts(),
            "members": to_builtins(members),
            **self._losses(members),
        }
        query.call.answer_json(200, facts)

    def _silent(self, name: str) -> MemberStatus:
        """A silent member, as the membership knows it."""
        member = self.membership.peers.get(name)
        if member is None:
            return MemberStatus("", SILENT, 0, "", None, None)
        return MemberStatus(
            member.replica_id, SILENT, member.replica_incarnation, member.address, None, None
        )

    def _losses(self, members: dict[str, MemberStatus]) -> dict[str, Any]:
        """How many of those that vote may be lost now so that a majority still answers."""
        newest = self.membership.replicas()
        majority = self.local.majority()
        voting = sorted(
            member.replica
            for member in members.values()
            if member.state == VOTING
            and member.replica is not None
            and member.incarnation >= newest.get(member.replica, ("", 0))[1]
        )
        return {
            "majority": majority,
            "voting": voting,
            "losses_borne": max(0, len(voting) - majority),
            "has_majority": len(voting) >= majority,
        }
