"""Differences of the list of runners: which serial of the list last changed each runner."""

FIGURES = frozenset(("queued", "running", "kv_used", "kv_total", "age_us"))
GONE_MOST = 256


def _standing(record):
    return {name: value for name, value in record.items() if name not in FIGURES}


def _figures(record):
    return [record[name] for name in ("queued", "running", "kv_used", "kv_total")]


class RunnerListDelta:
    """The serials at which each runner's record, its figures and its place last changed."""

    __slots__ = ("whole", "records", "figures", "gone", "newest")

    def __init__(self):
        """Nothing is known yet: no difference can be told."""
        self.begin(0)

    def begin(self, serial):
        """A list that has nothing in common with those before it."""
        self.whole = self.newest = serial
        self.records = {}
        self.figures = {}
        self.gone = {}

    def is_known(self, held, serial):
        """Whether the differences since the serial that a router holds can be told."""
        return self.whole <= held <= serial

    def note_record(self, name, serial):
        """The runner's record changed otherwise than by its figures."""
        self.records[name] = self.newest = serial

    def note_list(self, before, runners, serial):
        """Compares a new list with the records before it; tells whether anything changed."""
        is_changed = False
        for name, runner in runners.items():
            held = before.get(name)
            if held is None or _standing(held) != _standing(runner.as_record(0)):
                self.note_record(name, serial)
                is_changed = True
        for name in runners:
            self.gone.pop(name, None)
        for name in [name for name in before if name not in runners]:
            for table in (self.records, self.figures):
                table.pop(name, None)
            self.gone[name] = self.newest = serial
            is_changed = True
        if len(self.gone) > GONE_MOST:
            self._forget_gone()
        return is_changed

    def _forget_gone(self):
        """Who holds a serial older than what is forgotten here is told the whole list."""
        oldest = sorted(self.gone.items(), key=lambda entry: entry[1])
        for name, serial in oldest[: GONE_MOST // 2]:
            del self.gone[name]
            self.whole = max(self.whole, serial)

    def note_report(self, before, runner, serial):
        """Compares a report with the one before it; tells whether anything changed.

        One that says nothing new is told beside the next change, for its age."""
        after = runner.as_record(0)
        self.figures[runner.name] = serial
        if before is None or _standing(before) != _standing(after):
            self.note_record(runner.name, serial)
            return True
        return _figures(before) != _figures(after)

    def since(self, held, runners, now_us):
        """For a router that holds this serial: whole records, figures and names that are gone."""
        records, figures = [], []
        for name, runner in runners.items():
            if self.records.get(name, 0) > held:
                records.append(runner.as_record(now_us))
            elif self.figures.get(name, 0) > held and runner.reported_us is not None:
                figures.append(runner.as_figures(now_us))
        gone = [name for name, serial in self.gone.items() if serial > held]
        return {"runners": records, "figures": figures, "gone": gone}
