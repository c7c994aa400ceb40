"""The command line program `linkhaven-router`."""

from cleo.helpers import argument, option

from linkhaven.traces import TraceWriter
from linkhaven.wire import EventLoop, event_loop_options, make_log
from linkhaven.wire.console import SETTINGS_OPTIONS, CodedCommand, call_json, run_application

from .node import RouterNode

ROUTER_OPTION = option(
    "router", "r", "HTTP address of the router", flag=False, default="127.0.0.1:8101"
)


def router_builder(settings):
    """Return a function that builds the node from ports and an incarnation, by checked settings."""

    def build(ports, incarnation):
        return RouterNode(
            settings["name"],
            settings["lines"],
            ports,
            settings["zone"],
            settings["seeds"],
            incarnation,
            settings["requests"],
        )

    return build


class ServeCommand(CodedCommand):
    """Runs the router."""

    name = "serve"
    description = "Run this router until SIGTERM, then drain."
    options = SETTINGS_OPTIONS

    def act(self):
        settings = self.read_node_settings("router")
        traces = TraceWriter(settings["traces"], settings["name"]) if "traces" in settings else None
        loop = EventLoop(
            build=router_builder(settings),
            log=make_log(settings["name"], **settings["log"]),
            **event_loop_options(settings),
        )
        if traces:
            loop.node.on_end.append(traces.write)
        try:
            return loop.run_to_end()
        finally:
            if traces:
                traces.close()


class CheckCommand(CodedCommand):
    """Checks the settings."""

    name = "check"
    description = "Check the settings without starting."
    options = SETTINGS_OPTIONS

    def act(self):
        self.show(self.read_node_settings("router"))


class ExplainCommand(CodedCommand):
    """Shows the record of a request."""

    name = "explain"
    description = "Show how a recent request was placed: candidates, Q, E, T, choice, exceptions."
    arguments = [argument("request", "the request's id, as in the answer's request-id header")]
    options = [ROUTER_OPTION]

    def act(self):
        self.show(
            call_json(self.option("router"), "GET", f"/v1/explain/{self.argument('request')}")
        )


class StandingCommand(CodedCommand):
    """Shows the state of a router."""

    name = "standing"
    description = "Show what a router knows of itself, its fellows, the runners and its groups."
    options = [ROUTER_OPTION]

    def act(self):
        self.show(call_json(self.option("router"), "GET", "/v1/standing"))


def main():
    """Run the program."""
    run_application(
        "linkhaven-router", [ServeCommand(), CheckCommand(), ExplainCommand(), StandingCommand()]
    )
