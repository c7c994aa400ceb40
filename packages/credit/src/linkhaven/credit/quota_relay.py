"""Relaying of requests for tokens for another router that can't reach the controllers.

The response is relayed back. The lifetime of a slice still starts when the router that spends it
sent its request, so relaying only shortens the usable time.

| message | from | effect |
| --- | --- | --- |
| `QuotaRequest` | a router | sent to a controller in its own name; unowned if cut off too |
| `QuotaResponse` to a relayed request | a controller | forwarded to the router |
"""

from collections import OrderedDict
from collections.abc import Callable

from linkhaven.runtime import Node

from .quota_messages import QuotaRequest, QuotaResponse, TokenWant


class RelayedRequest:
    """The origin of a relayed request: its router, its original number, and when it was sent."""

    __slots__ = ("address", "number", "sent_us")

    def __init__(self, address: str, number: int, sent_us: int) -> None:
        """The response goes to `address` with `number`."""
        self.address = address
        self.number = number
        self.sent_us = sent_us


class QuotaRelay:
    """The requests of other routers that this one relays."""

    __slots__ = ("node", "next_number", "address_of", "life_us", "relayed")

    def __init__(
        self,
        node: Node,
        next_number: Callable[[], int],
        address_of: Callable[[str], str | None],
        life_us: int,
    ) -> None:
        """`address_of` returns the controller for a tenant, None if none can be reached."""
        self.node = node
        self.next_number = next_number
        self.address_of = address_of
        self.life_us = life_us
        self.relayed: OrderedDict[int, RelayedRequest] = OrderedDict()
        node.register_handler(QuotaRequest, self.on_quota_request)

    def on_quota_request(self, message: QuotaRequest) -> None:
        """Relay a request of another router to the controllers."""
        by_address: dict[str | None, list[TokenWant]] = {}
        for want in message.wants:
            by_address.setdefault(self.address_of(want.tenant), []).append(want)
        for address, wants in by_address.items():
            if address is None:
                self._send_unowned(message, wants)
            else:
                self._forward(address, message, wants)

    def _send_unowned(self, message: QuotaRequest, wants: list[TokenWant]) -> None:
        unowned = [want.tenant for want in wants]
        response = QuotaResponse(number=message.number, grants=[], unowned=unowned)
        self.node.send(message.router_address, response)

    def _forward(self, address: str, message: QuotaRequest, wants: list[TokenWant]) -> None:
        now_us, number = self.node.now_us(), self.next_number()
        while self.relayed:
            oldest = next(iter(self.relayed))
            if now_us - self.relayed[oldest].sent_us < self.life_us:
                break
            del self.relayed[oldest]
        self.relayed[number] = RelayedRequest(message.router_address, message.number, now_us)
        request = QuotaRequest(number=number, router_address=self.node.address, wants=wants)
        self.node.send(address, request)

    def forward_response(self, message: QuotaResponse) -> bool:
        """Forward a response to the router that it is for; False if it wasn't relayed."""
        relayed = self.relayed.get(message.number)
        if relayed is None:
            return False
        response = QuotaResponse(
            number=relayed.number, grants=message.grants, unowned=message.unowned
        )
        self.node.send(relayed.address, response)
        return True
