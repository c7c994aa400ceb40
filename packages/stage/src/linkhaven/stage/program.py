"""The command line of linkhaven-stage."""

import json
import tempfile

from cleo.helpers import argument, option

from linkhaven.wire import EventLoop
from linkhaven.wire.console import CodedCommand, run_application
from linkhaven.wire.settings import invalid_setting

from .control import play
from .explore.program import ExploreCommand
from .fleet import DEPLOYMENTS
from .loopback import LoadRun, measure_overhead, run_fleet
from .measure import MEASURES
from .slopes.program import SlopesCommand
from .soak.program import SoakCommand, SoakNodeCommand, SoakPowerCommand
from .soak.records import RecordFile
from .standins import Speeds, StandInPlatform, StandInRunner
from .sweep import sweep

DEPLOYMENT_OPTION = option(
    "deployment", "d", "licensing, archive or licensing-tenants", flag=False, default="licensing"
)

LOAD_OPTIONS = [
    DEPLOYMENT_OPTION,
    option("rate", None, "requests a second", flag=False, default="6"),
    option("seconds", None, "how long", flag=False, default="20"),
    option("seed", None, "seed of the load", flag=False, default="1"),
]


def whole(command, name, least, most):
    """An option's value as a whole number. Raises the settings error if it isn't one within the
    bounds."""
    text = command.option(name)
    if not str(text).isdigit() or not least <= int(text) <= most:
        raise invalid_setting(f"--{name}", f"is not a whole number from {least} to {most}")
    return int(text)


def load_of(command):
    """The options rate, seconds and seed."""
    return (
        whole(command, "rate", 1, 500),
        whole(command, "seconds", 1, 600),
        whole(command, "seed", 0, 10**9),
    )


def deployment_of(command):
    """The deployment that an option names. Raises the settings error for an unknown one."""
    deployment = DEPLOYMENTS.get(command.option("deployment"))
    if deployment is None:
        raise invalid_setting("--deployment", f"is not one of {', '.join(DEPLOYMENTS)}")
    return deployment


class RunnerCommand(CodedCommand):
    name = "runner"
    description = "Run a stand-in model runner."
    options = [
        option("name", None, "the runner's name", flag=False, default="runner-1"),
        option("http", None, "IP number and port", flag=False, default="127.0.0.1:9001"),
        option("phase", None, "prefill or decode", flag=False, default="decode"),
        option("fast", None, "take next to no time, for measuring what stands in front"),
        option("record", None, "append what it was offered and began to this file", flag=False),
        option("trusting", None, "take any order, version and handle"),
    ]

    def act(self):
        if self.option("phase") not in ("prefill", "decode"):
            raise invalid_setting("--phase", "is neither prefill nor decode")
        path = self.option("record")
        record = RecordFile(path).note if path else None

        def build(ports, incarnation):
            speeds = (
                Speeds(prefill_rate=100_000_000, read_base_us=0, step_us=100, step_each_us=0)
                if self.option("fast")
                else Speeds()
            )
            return StandInRunner(
                self.option("name"),
                self.option("http"),
                ports,
                incarnation,
                self.option("phase"),
                record,
                speeds=speeds,
                is_trusting=self.option("trusting"),
            )

        return EventLoop(self.option("name"), None, self.option("http"), build).run_to_end()


class PlatformCommand(CodedCommand):
    name = "platform"
    description = "Run a stand-in platform that lists runners, behind reality."
    options = [
        option("http", None, "IP number and port", flag=False, default="127.0.0.1:9000"),
        option(
            "runner", None, "name=address=zone, once for each runner", flag=False, multiple=True
        ),
    ]

    def act(self):
        listed = {}
        for text in self.option("runner"):
            parts = text.split("=")
            if len(parts) != 3:
                raise invalid_setting("--runner", f"{text} is not name=address=zone")
            name, address, zone = parts
            listed[name] = {
                "name": name,
                "address": address,
                "zone": zone,
                "incarnation": 0,
                "state": "serving",
            }

        def build(ports, incarnation):
            platform = StandInPlatform("platform", self.option("http"), ports)
            platform.set(listed, at_once=True)
            return platform

        return EventLoop("platform", None, self.option("http"), build).run_to_end()


class LoadCommand(CodedCommand):
    name = "load"
    description = "Put a bounded load of callers on routers and print a summary."
    options = [
        *LOAD_OPTIONS,
        option("router", "r", "HTTP address of a router (repeat)", flag=False, multiple=True),
    ]

    def act(self):
        routers = self.option("router") or ["127.0.0.1:8101"]
        self.show(LoadRun(deployment_of(self), routers, *load_of(self)).run())


class FleetCommand(CodedCommand):
    name = "fleet"
    description = "Start a whole deployment on loopback, put a plan and a bounded load on it, print a summary, stop it."
    options = [
        *LOAD_OPTIONS,
        option("port", None, "first of a hundred ports on 127.0.0.1", flag=False, default="17000"),
        option("faults", None, "kill and restart a core seat, a router and a runner on the way"),
        option(
            "folder",
            None,
            "where settings, data and logs go (default: a new temporary folder)",
            flag=False,
        ),
    ]

    def act(self):
        deployment, port, load = (
            deployment_of(self),
            whole(self, "port", 1024, 65_000),
            load_of(self),
        )
        folder = self.option("folder") or tempfile.mkdtemp(prefix="linkhaven-")
        self.line_error(f"settings, data and logs in {folder}")
        self.show(run_fleet(deployment, folder, port, *load, self.option("faults")))


class SweepCommand(CodedCommand):
    name = "sweep"
    description = (
        "Run many seeds of mixed faults in the simulated world and judge each on every rule."
    )
    options = [
        DEPLOYMENT_OPTION,
        option("first", None, "first seed", flag=False, default="1"),
        option("count", None, "how many seeds", flag=False, default="20"),
    ]

    def act(self):
        totals = sweep(
            deployment_of(self).name,
            whole(self, "first", 0, 10**9),
            whole(self, "count", 1, 100_000),
            lambda breach: self.line(json.dumps(breach)),
        )
        self.show(totals)
        return 1 if totals["breached"] else 0


class ControlCommand(CodedCommand):
    """Courses of the four control-plane properties over many seeds."""

    name = "control"
    description = "Play the courses of the four control points over many seeds and judge each."
    options = [
        option("first", None, "first seed", flag=False, default="1"),
        option("count", None, "how many seeds", flag=False, default="1"),
        option("changes", None, "changes in each of eight legs", flag=False, default="63"),
    ]

    def act(self):
        """Print each breach as a line; return exit code 1 if there was one."""
        totals = play(
            whole(self, "first", 0, 10**9),
            whole(self, "count", 1, 100_000),
            whole(self, "changes", 1, 100_000),
            lambda breach: self.line(json.dumps(breach)),
        )
        self.show(totals)
        return 1 if totals["breached"] else 0


class MeasureCommand(CodedCommand):
    name = "measure"
    description = f"Measure in simulated time: {', '.join(MEASURES)}."
    arguments = [argument("what", "what to measure")]
    options = [
        DEPLOYMENT_OPTION,
        option("seeds", None, "how many seeds, from 1", flag=False, default="3"),
    ]

    def act(self):
        measure = MEASURES.get(self.argument("what"))
        if measure is None:
            raise invalid_setting("what", f"is not one of {', '.join(MEASURES)}")
        measure(
            deployment_of(self).name,
            whole(self, "seeds", 1, 1000),
            lambda row: self.line(json.dumps(row)),
        )


class OverheadCommand(CodedCommand):
    name = "overhead"
    description = "Measure on loopback what a router adds to a call straight to a runner, in pairs."
    options = [
        option("port", None, "first of a hundred ports on 127.0.0.1", flag=False, default="18000"),
        option("count", None, "how many pairs", flag=False, default="200"),
    ]

    def act(self):
        folder = tempfile.mkdtemp(prefix="linkhaven-")
        self.show(
            measure_overhead(
                folder, whole(self, "port", 1024, 65_000), whole(self, "count", 10, 5_000)
            )
        )


def main():
    """Run the program."""
    run_application(
        "linkhaven-stage",
        [
            RunnerCommand(),
            PlatformCommand(),
            LoadCommand(),
            FleetCommand(),
            SweepCommand(),
            ControlCommand(),
            MeasureCommand(),
            OverheadCommand(),
            SlopesCommand(),
            ExploreCommand(),
            SoakCommand(),
            SoakNodeCommand(),
            SoakPowerCommand(),
        ],
    )
