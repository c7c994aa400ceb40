"""Write variants of a site file into a folder outside the repository, to play days on them.

    python tests/deployments/vary.py SITE FOLDER [VARIANT ...]

A variant changes figures of the site file that is given and keeps everything else as it is.
The file that the site names under `wire` is copied beside the variants.
"""

import re
import shutil
import sys
from pathlib import Path

MACHINE = re.compile(r'  \{ class = "(?P<machine_class>\w+)".*\},')
HEAD = re.compile(r"^\[.*\]$", re.MULTILINE)
SERVERS = re.compile(r"servers = \[(?P<places>[^\]]*)\]")
PLACE = re.compile(r"count = (?P<count>\d+)")
SPARE = re.compile(r"spare = \d+")
FAR_MS = 6.0
LAG_MS = 3000
SLOW_LIST_PER_S = 20.0
CORE_MACHINES = 5
LOST_AT_ONCE = 2
MANY_SPARES = 4


class UnknownFieldError(Exception):
    """The site file lacks a field that a variant changes: look at how the file is written now."""


def set_field(text: str, table: str, name: str, value: object) -> str:
    """Set a field that stands on a line of its own in a table; the table "" is the file's head."""
    heads = [match for match in HEAD.finditer(text) if match[0] == table]
    if table and len(heads) != 1:
        raise UnknownFieldError(f"{table} stands {len(heads)} times in the site file")
    first = heads[0].end() if table else 0
    following = HEAD.search(text, first)
    last = following.start() if following else len(text)
    body, found = re.subn(rf"(?m)^{name} = .*$", f"{name} = {value}", text[first:last])
    if found != 1:
        raise UnknownFieldError(f"{name} stands {found} times under {table or 'the head'}")
    return text[:first] + body + text[last:]


def set_counts(text: str, machine_class: str, counts: list[int]) -> str:
    """Give the machines of a class these counts, one for each line that holds them."""
    lines = text.split("\n")
    places = [number for number, line in enumerate(lines) if is_of_class(line, machine_class)]
    if len(places) > len(counts):
        raise UnknownFieldError(f"{len(places)} lines of {machine_class} for {len(counts)} counts")
    for number, count in zip(places, counts, strict=False):
        lines[number] = PLACE.sub(f"count = {count}", lines[number], count=1)
    return "\n".join(lines)


def is_of_class(line: str, machine_class: str) -> bool:
    """Tell whether the line holds machines of this class."""
    match = MACHINE.fullmatch(line)
    return match is not None and match["machine_class"] == machine_class


def count_lines(text: str, machine_class: str) -> int:
    """Count the lines that hold machines of a class."""
    return sum(is_of_class(line, machine_class) for line in text.split("\n"))


def spread(total: int, lines: int) -> list[int]:
    """Share a number of machines over lines, the first ones getting what is left over."""
    return [total // lines + (number < total % lines) for number in range(lines)]


def five_core(text: str) -> str:
    """Five core machines, two of which may be lost at once."""
    counts = spread(CORE_MACHINES, count_lines(text, "core"))
    text = set_counts(text, "core", counts)
    return set_field(text, "[tolerate]", "machines", LOST_AT_ONCE)


def many_spares(text: str) -> str:
    """Enough spare core machines for days with a row of replacements."""
    lines = text.split("\n")
    for number, line in enumerate(lines):
        if is_of_class(line, "core"):
            lines[number] = SPARE.sub(f"spare = {MANY_SPARES}", line, count=1)
    return "\n".join(lines)


def far_zones(text: str) -> str:
    """Six milliseconds from zone to zone."""
    return set_field(text, "[net]", "cross_zone_ms", FAR_MS)


def heavy_zone(text: str) -> str:
    """Most routers and runners in the first zone."""
    fronts = count_lines(text, "front")
    text = set_counts(text, "front", [fronts + 2] + [1] * (fronts - 1))
    return SERVERS.sub(crowd_first_place, text)


def crowd_first_place(match: re.Match[str]) -> str:
    """Move all runners of a service but one in each zone to its first zone."""
    places = match["places"]
    counts = [int(found["count"]) for found in PLACE.finditer(places)]
    crowded = iter([sum(counts) - len(counts) + 1] + [1] * (len(counts) - 1))
    return f"servers = [{PLACE.sub(lambda _: f'count = {next(crowded)}', places)}]"


def lagging_list(text: str) -> str:
    """A list of runners that lags by seconds and takes few calls."""
    text = set_field(text, "[discovery]", "lag_ms", LAG_MS)
    return set_field(text, "[discovery]", "per_s", SLOW_LIST_PER_S)


def five_far(text: str) -> str:
    """Five core machines with six milliseconds between their zones, and many spares."""
    return many_spares(far_zones(five_core(text)))


VARIANTS = {
    "five-core": five_core,
    "far-zones": far_zones,
    "heavy-zone": heavy_zone,
    "lagging-list": lagging_list,
    "five-far": five_far,
    "many-spares": many_spares,
}


def write_variants(site: Path, folder: Path, names: list[str]) -> list[Path]:
    """Write the variants named, each into a file SITE-VARIANT.toml, and the wire file beside."""
    text = site.read_text()
    wire = re.search(r'^wire = "([^"]+)"$', text, re.MULTILINE)
    folder.mkdir(parents=True, exist_ok=True)
    if wire is not None:
        shutil.copyfile(site.parent / wire[1], folder / wire[1])
    written = []
    for name in names:
        path = folder / f"{site.stem}-{name}.toml"
        path.write_text(VARIANTS[name](set_field(text, "", "name", f'"{path.stem}"')))
        written.append(path)
    return written


if __name__ == "__main__":
    for file in write_variants(Path(sys.argv[1]), Path(sys.argv[2]), sys.argv[3:] or [*VARIANTS]):
        print(file)
