"""The command `linkhaven-stage slopes`."""

import json
import tempfile

from cleo.helpers import argument, option

from linkhaven.wire.console import CodedCommand
from linkhaven.wire.settings import invalid_setting

MAX_VALUES = {
    "routers": 1000,
    "runners": 5000,
    "groups": 5000,
    "kinds": 5000,
    "rate": 500,
    "configurations": 600,
    "zones": 16,
    "answer_tokens": 400,
}


MAY_BE_ZERO = ("rate", "configurations")


def check_whole(place, text, least, most):
    if not str(text).isdigit() or not least <= int(text) <= most:
        raise invalid_setting(place, f"is not a whole number from {least} to {most}")
    return int(text)


def check_number(place, name, text):
    return check_whole(place, text, 0 if name in MAY_BE_ZERO else 1, MAX_VALUES[name])


class SlopesCommand(CodedCommand):
    """Measures the cost of each role, or extrapolates it to a larger fleet."""

    name = "slopes"
    description = (
        "Measure what each role spends, with hollow nodes: by one number varied (its name, or all), "
        "a whole fleet of a given size (fleet), the fleet to come worked out from slopes (target), "
        "or a request on real sockets (request)."
    )
    arguments = [argument("what", f"{', '.join(MAX_VALUES)}, all, fleet, target or request")]
    options = [
        *(
            option(
                name.replace("_", "-"),
                None,
                f"how many {name.replace('_', ' ')}, all else held there",
                flag=False,
            )
            for name in MAX_VALUES
        ),
        option(
            "values", None, "values of the number that is varied, with commas between", flag=False
        ),
        option("seeds", None, "how many seeds, from 1", flag=False, default="3"),
        option("seconds", None, "how long each window is", flag=False, default="5"),
        option("processes", None, "how many shapes to measure at once", flag=False, default="1"),
        option("lose", None, "fleet: then lose a machine, a rack and a zone"),
        option("rows", None, "target: a file of what slopes all told", flag=False),
        option(
            "port",
            None,
            "request: first of a hundred ports on 127.0.0.1",
            flag=False,
            default="19000",
        ),
    ]

    def act(self):
        """Prints a JSON line for each result."""
        what, seconds = self.argument("what"), self._whole("seconds", 1, 600)
        if what == "fleet":
            from .large import LargeRun

            return LargeRun(self._shape(), 1, self._report_row).run(seconds, self.option("lose"))
        if what == "target":
            return self._report_target()
        if what == "request":
            return self._measure_requests(seconds)
        if what != "all" and what not in MAX_VALUES:
            raise invalid_setting(
                "what", f"is not one of {', '.join(MAX_VALUES)}, all, fleet, target or request"
            )
        from .vary import report_slopes, vary

        for axis in MAX_VALUES if what == "all" else (what,):
            points = vary(
                axis,
                self._whole("seeds", 1, 100),
                seconds,
                self._given(),
                self._values(axis),
                self._whole("processes", 1, 64),
            )
            report_slopes(axis, points, self._report_row)

    def _whole(self, name, least, most):
        return check_whole(f"--{name}", self.option(name), least, most)

    def _report_row(self, row):
        self.line(json.dumps(row, ensure_ascii=False))

    def _given(self):
        texts = {name: self.option(name.replace("_", "-")) for name in MAX_VALUES}
        return {
            name: check_number(f"--{name.replace('_', '-')}", name, text)
            for name, text in texts.items()
            if text is not None
        }

    def _shape(self):
        from .hollow import Shape

        return Shape(**self._given())

    def _values(self, axis):
        text = self.option("values")
        return (
            None
            if text is None
            else [check_number("--values", axis, part) for part in text.split(",")]
        )

    def _report_target(self):
        from .target import TARGET, read_rows, report_target

        if self.option("rows") is None:
            raise invalid_setting("--rows", "is missing: a file of what slopes all told")
        report_target(
            read_rows(self.option("rows")), self._report_row, target={**TARGET, **self._given()}
        )

    def _measure_requests(self, seconds):
        from .fit import fit_plane
        from .request import measure_requests

        folder = tempfile.mkdtemp(prefix="linkhaven-")
        for role, points in measure_requests(
            folder, self._whole("port", 1024, 65_000), seconds, self._report_row
        ).items():
            self._report_row(
                {
                    "axis": "requests on sockets",
                    "role": role,
                    "figure": "cpu_us",
                    **fit_plane(points, ("requests", "pieces")),
                }
            )
