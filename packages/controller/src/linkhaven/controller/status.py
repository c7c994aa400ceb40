"""The status of the core: members, incarnations, recovery progress, and tolerable losses.

The node that serves the call queries every core member that it knows. It answers when all have
answered or after `ANSWER_TIMEOUT_US`, so that a member that doesn't answer is shown as silent
instead of in its last known state.

| message | action |
| --- | --- |
| `MemberStatusRequest` | `MemberStatusResponse` to the requester, at once |
| `MemberStatusResponse` to an open query | recorded; the last one completes the query |
| `MemberStatusResponse` to a completed query | ignored |
"""

from typing import Any, Protocol

from msgspec import to_builtins

from linkhaven.membership import Membership
from linkhaven.runtime import Node

from .messages import MemberStatus, MemberStatusRequest, MemberStatusResponse

ANSWER_TIMEOUT_US = 400_000
"""How long a query waits for the other members."""

MAX_QUERIES = 16
"""The maximum number of open queries; beyond it the oldest is answered as far as it got."""

SILENT = "silent"
"""The state shown for a member that didn't answer."""

VOTING = "voting"


class LocalStatus(Protocol):
    """The status of this node, and its view of the core."""

    def member(self) -> MemberStatus:
        """The status of this node as a member."""

    def facts(self) -> dict[str, Any]:
        """What this node adds to the members' statuses."""

    def majority(self) -> int:
        """How many replicas form a majority."""


class StatusQuery:
    """An operator's call that waits for the other members' answers."""

    __slots__ = ("call", "until_us", "missing", "answers")

    def __init__(self, call: Any, until_us: int, missing: set[str]) -> None:
        """`until_us`: the deadline. `missing`: the members that haven't answered yet."""
        self.call = call
        self.until_us = until_us
        self.missing = missing
        self.answers: dict[str, MemberStatus] = {}


class ClusterStatus:
    """Answers GET /v1/core from the status that each core member gives of itself."""

    __slots__ = ("node", "membership", "local", "queries", "serial")

    def __init__(self, node: Node, membership: Membership, local: LocalStatus) -> None:
        """Register the message handlers."""
        self.node = node
        self.membership = membership
        self.local = local
        self.queries: dict[int, StatusQuery] = {}
        self.serial = 0
        node.register_handler(MemberStatusRequest, self.on_request)
        node.register_handler(MemberStatusResponse, self.on_response)

    def serve(self, call: Any) -> None:
        """Query all members; `on_response` or `tick` sends the answer."""
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
        """Answer with the status of this node."""
        response = MemberStatusResponse(message.id, self.local.member())
        self.node.send(message.reply_to, response)

    def on_response(self, message: MemberStatusResponse) -> None:
        """Record the answer; complete the query if it was the last one."""
        query = self.queries.get(message.id)
        if query is None:
            return
        sender = str(message.sender)
        query.missing.discard(sender)
        query.answers[sender] = message.member
        if not query.missing:
            self._answer(message.id)

    def tick(self, now_us: int) -> None:
        """Complete the queries whose deadline has passed."""
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
        """The status of a member that didn't answer, from the membership."""
        member = self.membership.peers.get(name)
        if member is None:
            return MemberStatus("", SILENT, 0, "", None, None)
        return MemberStatus(
            member.replica_id, SILENT, member.replica_incarnation, member.address, None, None
        )

    def _losses(self, members: dict[str, MemberStatus]) -> dict[str, Any]:
        """How many of the voting replicas may be lost now without losing the majority."""
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
