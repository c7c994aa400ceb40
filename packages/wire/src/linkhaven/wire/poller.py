import select
import sys

from circuits.core.events import exception
from circuits.core.pollers import EPoll

READ, WRITE = select.EPOLLIN, select.EPOLLOUT


class DirectPoller(EPoll):
    """Circuits' poller, with direct calls for descriptors that are watched and deeds put off to the end of a turn."""

    def __init__(self):
        super().__init__()
        self.deeds = {}
        self.put_off = []

    def watch(self, fileno, mask, deed):
        self._poller.register(fileno, mask)
        self.deeds[fileno] = deed

    def change(self, fileno, mask):
        self._poller.modify(fileno, mask)

    def unwatch(self, fileno):
        if self.deeds.pop(fileno, None) is not None:
            self._poller.unregister(fileno)

    def after(self, deed):
        self.put_off.append(deed)

    def _generate_events(self, event):
        self.turn(event.time_left)

    def turn(self, time_left):
        if self.put_off:
            self._run_put_off()
            time_left = 0
        ready = self._poller.poll(time_left)
        if not ready:
            return
        deeds = self.deeds
        for fileno, mask, deed in [(fileno, mask, deeds.get(fileno)) for fileno, mask in ready]:
            if deed is None:
                if fileno not in deeds:
                    self._process(fileno, mask)
            elif deeds.get(fileno) is deed:
                self._run(deed, mask)
        if self.put_off:
            self._run_put_off()

    def _run_put_off(self):
        deeds, self.put_off = self.put_off, []
        for deed in deeds:
            self._run(deed)

    def _run(self, deed, *facts):
        try:
            deed(*facts)
        except Exception:
            kind, fault, trace = sys.exc_info()
            self.fire(exception(kind, fault, trace, handler=deed, fevent=None))
