"""The program `linkhaven-registry`: runs a control plane node, with the operators' commands."""

from collections.abc import Callable
from typing import Any

from cleo.helpers import option

from linkhaven.runtime import Ports
from linkhaven.wire import EventLoop, event_loop_options, make_log
from linkhaven.wire.console import SETTINGS_OPTIONS, CodedCommand, run_application

from .commands import OPERATOR_COMMANDS
from .node import ControllerNode
from .storage import open_storage

CORE_OPTIONS = [
    *SETTINGS_OPTIONS,
    option("data", None, "the data folder", flag=False),
    option("seat", None, "the core seat: a, b or c", flag=False),
    option("platform", None, "HTTP address of the platform's list of runners", flag=False),
]

CORE_SETTINGS = ("data", "seat", "platform")
"""The settings that command-line options of the same name override."""


def controller_builder(settings: dict[str, Any]) -> Callable[[Ports, int], ControllerNode]:
    """A factory of nodes with these validated settings, given ports and an incarnation."""

    def build(ports: Ports, incarnation: int) -> ControllerNode:
        return ControllerNode(
            settings["name"],
            settings["lines"],
            ports,
            settings["zone"],
            settings["seeds"],
            incarnation,
            settings["seat"],
            settings["platform"],
        )

    return build


class CoreCommand(CodedCommand):
    """A command that reads the settings of a node."""

    options = CORE_OPTIONS

    def read_core(self) -> dict[str, Any]:
        """Read and validate the settings file, with values overridden by options."""
        given = {name: self.option(name) for name in CORE_SETTINGS}
        settings: dict[str, Any] = self.read_node_settings("registry", **given)
        return settings


class ServeCommand(CoreCommand):
    """Run a control plane node."""

    name = "serve"
    description = "Run this core seat until SIGTERM."

    def act(self) -> Any:
        """Run until a signal ends the process; returns the exit code."""
        settings = self.read_core()
        log = make_log(settings["name"], **settings["log"])
        storage = open_storage(settings["data"], settings["data_bytes"], settings["name"], log)
        try:
            loop = EventLoop(
                build=controller_builder(settings),
                storage=storage,
                log=log,
                **event_loop_options(settings),
            )
            return loop.run_to_end()
        finally:
            storage.close()


class CheckCommand(CoreCommand):
    """Validate the settings of a node."""

    name = "check"
    description = "Check the settings without starting."

    def act(self) -> None:
        """Show the effective settings."""
        self.show(self.read_core())


def main() -> None:
    """Run the command line."""
    commands = [ServeCommand(), CheckCommand(), *(command() for command in OPERATOR_COMMANDS)]
    run_application("linkhaven-registry", commands)
