"""The command `linkhaven-stage explore`."""

import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed

from cleo.helpers import option

from linkhaven.wire.console import CodedCommand
from linkhaven.wire.settings import invalid_setting

from .cases import core_cases
from .report import Totals, dive_case, name_of, replay_file, search_case, walk_seed, write_course

MAX_JOBS = 16


def _whole_number_option(command, name, least, most):
    text = command.option(name)
    if not str(text).isdigit() or not least <= int(text) <= most:
        raise invalid_setting(f"--{name}", f"is not a whole number from {least} to {most}")
    return int(text)


class ExploreCommand(CodedCommand):
    """Searches small cases, runs random walks over larger ones, or replays a recorded violation."""

    name = "explore"
    description = "Check the core's real nodes under orders of events: small cases exhaustively, larger by seeded walks."
    options = [
        option(
            "states", None, "most states of each small case (0: none)", flag=False, default="20000"
        ),
        option("case", None, "only this small case (repeat)", flag=False, multiple=True),
        option("dives", None, "seeded courses through each small case", flag=False, default="500"),
        option("first", None, "first seed", flag=False, default="1"),
        option("walks", None, "how many walks", flag=False, default="50"),
        option("jobs", None, "processes at once", flag=False, default="1"),
        option("courses", None, "folder for the courses of breaches", flag=False, default="."),
        option("replay", None, "play the course of this file again", flag=False),
    ]

    def act(self):
        """Prints a JSON line for each case and walk, then the totals; returns 1 if an invariant
        broke.
        """
        if self.option("replay"):
            breach = replay_file(self.option("replay"), self.line)
            self.line(str(breach) if breach else "no rule broke")
            return 1 if breach else 0
        tasks = self._tasks()
        totals = Totals()
        with ProcessPoolExecutor(_whole_number_option(self, "jobs", 1, MAX_JOBS)) as pool:
            begun = [pool.submit(*task) for task in tasks]
            for done in as_completed(begun):
                self._report_record(done.result(), totals)
        self.show(totals.as_record())
        return 1 if totals.breached else 0

    def _tasks(self):
        states = _whole_number_option(self, "states", 0, 10**9)
        first, walks = (
            _whole_number_option(self, "first", 0, 10**9),
            _whole_number_option(self, "walks", 0, 10**7),
        )
        names = self.option("case") or list(core_cases())
        for name in names:
            if name not in core_cases():
                raise invalid_setting("--case", f"is not one of {', '.join(core_cases())}")
        searches = [(search_case, name, states) for name in names] if states else []
        dives = _whole_number_option(self, "dives", 0, 10**7)
        dived = [(dive_case, name, dives, first) for name in names] if dives else []
        return [*searches, *dived, *((walk_seed, seed) for seed in range(first, first + walks))]

    def _report_record(self, record, totals):
        totals.add(record)
        if record["breach"]:
            stem = name_of(record).replace(" ", "-").replace(",", "")
            path = os.path.join(self.option("courses"), f"explore-{stem}.json")
            write_course(path, record)
            record["kept"] = path
        self.line(json.dumps({key: value for key, value in record.items() if key != "course"}))
        for number, choice in enumerate(record["course"] if record["breach"] else (), 1):
            self.line(f"{number:4} {' '.join(str(part) for part in choice)}")
        sys.stdout.flush()
