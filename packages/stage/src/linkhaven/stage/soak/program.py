"""The commands `linkhaven-stage soak` and `soak-node`."""

import json
import os
import shutil
import signal
import tempfile

import msgspec
from cleo.helpers import option

from linkhaven.wire.console import CodedCommand
from linkhaven.wire.settings import check_settings, invalid_setting, read_settings

from ..fleet import DEPLOYMENTS
from .node import RUN
from .ports import find_range
from .run import SoakRun
from .sabotage import BREACHED_RULES, SABOTAGES, TENANT_SABOTAGES
from .schedule import draw_schedule

FIRST_PORT = 21_000
MIN_SECONDS = 21
MAX_SECONDS = 600
INTERRUPTED_EXIT_CODE = 130


def raise_interrupt(number, frame):
    """Handle SIGTERM like Ctrl-C, so that the soak's processes are stopped first."""
    raise KeyboardInterrupt


def whole_number(command, name, minimum, maximum):
    """Return an option's value as an integer; raises `settings_invalid` if it is out of range."""
    text = command.option(name)
    if not str(text).isdigit() or not minimum <= int(text) <= maximum:
        raise invalid_setting(f"--{name}", f"is not a whole number from {minimum} to {maximum}")
    return int(text)


def check_sabotage(name):
    """Raise `settings_invalid` for an unknown sabotage."""
    if name is not None and name not in SABOTAGES:
        raise invalid_setting("--sabotage", f"is not one of {', '.join(SABOTAGES)}")


class SoakCommand(CodedCommand):
    """Runs a real fleet under overlapping faults for each seed and judges each run."""

    name = "soak"
    description = (
        "Run a fleet of real processes under kills, pauses, cut links and lost answers, "
        "and judge each seed."
    )
    options = [
        option(
            "deployment",
            "d",
            "licensing, archive or licensing-tenants",
            flag=False,
            default="licensing",
        ),
        option("first", None, "first seed", flag=False, default="1"),
        option("count", None, "number of seeds", flag=False, default="1"),
        option("seconds", None, "length of each seed's load in seconds", flag=False, default="60"),
        option(
            "port", None, "first port of the ranges to search", flag=False, default=str(FIRST_PORT)
        ),
        option(
            "folder",
            None,
            "parent folder of the seeds' folders (default: a temporary one)",
            flag=False,
        ),
        option("keep", None, "keep the folders of seeds without a breach, too"),
        option("schedule", None, "only print the schedules"),
        option("sabotage", None, f"mechanism to disable: {', '.join(SABOTAGES)}", flag=False),
    ]

    def act(self):
        """Print a line of JSON for each seed; returns exit code 1 if any breached a rule."""
        deployment = DEPLOYMENTS.get(self.option("deployment"))
        if deployment is None:
            raise invalid_setting("--deployment", f"is not one of {', '.join(DEPLOYMENTS)}")
        first = whole_number(self, "first", 0, 10**9)
        seeds = range(first, first + whole_number(self, "count", 1, 10_000))
        seconds = whole_number(self, "seconds", MIN_SECONDS, MAX_SECONDS)
        port = whole_number(self, "port", 1_024, 60_000)
        check_sabotage(self.option("sabotage"))
        folder = None
        if not self.option("schedule"):
            folder = self.option("folder") or tempfile.mkdtemp(prefix="linkhaven-soak-")
        signal.signal(signal.SIGTERM, raise_interrupt)
        breached = 0
        for seed in seeds:
            self._print_schedule(seed, draw_schedule(seed, deployment, seconds))
            if folder is None:
                continue
            try:
                breached += not self._run_seed(deployment, seed, seconds, folder, port)
            except KeyboardInterrupt:
                self.line_error(f"{seed}: interrupted, not judged")
                return INTERRUPTED_EXIT_CODE
        return 1 if breached else 0

    def _print_schedule(self, seed, schedule):
        for fault in schedule:
            self.line_error(f"{seed}: {json.dumps(msgspec.to_builtins(fault))}")

    def _run_seed(self, deployment, seed, seconds, folder, port):
        seed_folder = os.path.join(folder, f"{deployment.name}-{seed}")
        self.line_error(f"{seed}: settings, data and logs in {seed_folder}")
        sabotage = self.option("sabotage")
        result = SoakRun(deployment, seed, seconds, seed_folder, find_range(port), sabotage).run()
        self.line(json.dumps(msgspec.to_builtins(result)))
        if result.is_held and not self.option("keep"):
            shutil.rmtree(seed_folder)
        return result.is_held


class SoakPowerCommand(CodedCommand):
    """Checks that the soak detects each sabotage, trying seeds until one breaches its rules."""

    name = "soak-power"
    description = (
        "Disable one mechanism of the fleet after another and check that the soak detects it."
    )
    options = [
        option("sabotage", None, "only this one (repeat)", flag=False, multiple=True),
        option(
            "deployment",
            "d",
            "licensing, archive or licensing-tenants",
            flag=False,
            default="licensing",
        ),
        option("first", None, "first seed", flag=False, default="1"),
        option("count", None, "most seeds to run for each sabotage", flag=False, default="5"),
        option("seconds", None, "length of each seed's load in seconds", flag=False, default="60"),
        option(
            "port", None, "first port of the ranges to search", flag=False, default=str(FIRST_PORT)
        ),
    ]

    def act(self):
        """Print a line of JSON for each sabotage; returns exit code 1 if any was not detected."""
        deployment = DEPLOYMENTS.get(self.option("deployment"))
        if deployment is None:
            raise invalid_setting("--deployment", f"is not one of {', '.join(DEPLOYMENTS)}")
        first = whole_number(self, "first", 0, 10**9)
        seeds = range(first, first + whole_number(self, "count", 1, 10_000))
        seconds = whole_number(self, "seconds", MIN_SECONDS, MAX_SECONDS)
        port = whole_number(self, "port", 1_024, 60_000)
        names = self.option("sabotage") or [
            name for name in SABOTAGES if deployment.tenants or name not in TENANT_SABOTAGES
        ]
        for name in names:
            check_sabotage(name)
        if not deployment.tenants and set(self.option("sabotage")) & TENANT_SABOTAGES:
            raise invalid_setting("--deployment", "has no tenants, as this sabotage needs")
        signal.signal(signal.SIGTERM, raise_interrupt)
        missed = 0
        for name in names:
            found = self._search(deployment, name, seeds, seconds, port)
            self.line(json.dumps(found))
            missed += not found["rules"]
        return 1 if missed else 0

    def _search(self, deployment, name, seeds, seconds, port):
        """Run seeds until one breaches a rule of this sabotage; returns what was found."""
        for played, seed in enumerate(seeds, 1):
            with tempfile.TemporaryDirectory(prefix="linkhaven-soak-") as folder:
                result = SoakRun(deployment, seed, seconds, folder, find_range(port), name).run()
            rules = {
                rule: lines[0]
                for rule, lines in result.breaches.items()
                if rule in BREACHED_RULES[name]
            }
            if rules:
                return {"sabotage": name, "seed": seed, "played": played, "rules": rules}
        return {"sabotage": name, "seed": None, "played": len(seeds), "rules": {}}


class SoakNodeCommand(CodedCommand):
    """A node of a soak; started by the soak itself."""

    name = "soak-node"
    description = "Run a router or registry that listens for nodes behind a relay (used by soak)."
    options = [
        option("program", None, "router or registry", flag=False),
        option("settings", None, "its settings file", flag=False),
        option("listen", None, "address to listen at for nodes, behind the relay", flag=False),
        option("sabotage", None, "a mechanism to disable", flag=False),
    ]

    def act(self):
        """Run the node until SIGTERM; returns its exit code."""
        program = self.option("program")
        if program not in RUN:
            raise invalid_setting("--program", f"is not one of {', '.join(RUN)}")
        sabotage = self.option("sabotage")
        check_sabotage(sabotage)
        if sabotage is not None:
            SABOTAGES[sabotage]()
        settings = check_settings(program, read_settings(self.option("settings")))
        return RUN[program](settings, self.option("listen"))
