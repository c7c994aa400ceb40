"""An epoll poller that runs callbacks directly instead of firing circuits events.

| input | action |
| --- | --- |
| a descriptor passed to `watch` is ready | its callback is called with the epoll mask |
| a descriptor of a circuits component is ready | the base class fires a circuits event |
| `call_soon` | the callback runs at the end of this turn, or before the next poll |

An exception raised by a callback is fired as a circuits `exception` event, which is logged; the
remaining callbacks still run.
"""

import select
import sys
from collections.abc import Callable
from typing import Any

from circuits.core.events import exception
from circuits.core.pollers import EPoll

READ, WRITE = select.EPOLLIN, select.EPOLLOUT

ReadyCallback = Callable[[int], Any]
"""Called with the epoll mask of the ready descriptor."""


class DirectPoller(EPoll):
    """Circuits' epoll poller with direct callbacks for descriptors and for the end of a turn."""

    def __init__(self) -> None:
        """Create a poller that watches only circuits' own descriptors."""
        super().__init__()
        self.callbacks: dict[int, ReadyCallback] = {}
        self.deferred: list[Callable[[], Any]] = []

    def watch(self, fileno: int, mask: int, callback: ReadyCallback) -> None:
        """Call `callback` whenever the descriptor is ready for an event in `mask`."""
        self._poller.register(fileno, mask)
        self.callbacks[fileno] = callback

    def change(self, fileno: int, mask: int) -> None:
        """Change the event mask of a watched descriptor and keep its callback."""
        self._poller.modify(fileno, mask)

    def unwatch(self, fileno: int) -> None:
        """Stop watching a descriptor; does nothing if it isn't watched."""
        if self.callbacks.pop(fileno, None) is not None:
            self._poller.unregister(fileno)

    def call_soon(self, callback: Callable[[], Any]) -> None:
        """Call `callback` at the end of this turn."""
        self.deferred.append(callback)

    def _generate_events(self, event: Any) -> None:
        self.turn(event.time_left)

    def turn(self, time_left: float) -> None:
        """Wait up to `time_left` seconds for ready descriptors and run their callbacks."""
        if self.deferred:
            self._run_deferred()
            time_left = 0
        ready = self._poller.poll(time_left)
        if not ready:
            return
        # A callback may close other sockets, and new sockets may reuse their descriptors. An event
        # is delivered only if its descriptor still has the callback it had when polled.
        callbacks = self.callbacks
        for fileno, mask, callback in [
            (fileno, mask, callbacks.get(fileno)) for fileno, mask in ready
        ]:
            if callback is None:
                if fileno not in callbacks:
                    self._process(fileno, mask)
            elif callbacks.get(fileno) is callback:
                self._run(callback, mask)
        if self.deferred:
            self._run_deferred()

    def _run_deferred(self) -> None:
        callbacks, self.deferred = self.deferred, []
        for callback in callbacks:
            self._run(callback)

    def _run(self, callback: Callable[..., Any], *arguments: Any) -> None:
        try:
            callback(*arguments)
        except Exception:
            kind, error, trace = sys.exc_info()
            self.fire(exception(kind, error, trace, handler=callback, fevent=None))
