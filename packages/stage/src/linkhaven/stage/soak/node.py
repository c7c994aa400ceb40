"""A router or registry process whose node-to-node connections ("lines") pass through a relay.

Its settings advertise the relay's address to other nodes, while it listens at another one. Node,
sockets, disk and log are those of `linkhaven-router serve` and `linkhaven-registry serve`, which
can only listen at the address that their settings advertise.
"""

from linkhaven.controller.program import controller_builder
from linkhaven.controller.storage import open_storage
from linkhaven.router.program import router_builder
from linkhaven.wire import EventLoop, event_loop_options, make_log


class RelayedEventLoop(EventLoop):
    """An event loop that listens for node connections at another address than it advertises."""

    def __init__(self, settings, listen, build, disk=None):
        """`listen` is the real address, behind the relay."""
        self.listen_address = listen
        super().__init__(
            build=build,
            storage=disk,
            level=settings["log"]["level"],
            **event_loop_options(settings),
        )

    def add_line_server(self, address):
        """Listen at the address behind the relay instead of the advertised one."""
        return super().add_line_server(self.listen_address)


def run_router(settings, listen):
    """Run a router until SIGTERM; returns its exit code."""
    return RelayedEventLoop(settings, listen, router_builder(settings)).run_to_end()


def run_registry(settings, listen):
    """Run a registry until SIGTERM; returns its exit code."""
    log = make_log(settings["name"], settings["log"]["level"], settings["log"].get("file"))
    disk = open_storage(settings["data"], settings["data_bytes"], settings["name"], log)
    try:
        return RelayedEventLoop(settings, listen, controller_builder(settings), disk).run_to_end()
    finally:
        disk.close()


RUN = {"router": run_router, "registry": run_registry}
