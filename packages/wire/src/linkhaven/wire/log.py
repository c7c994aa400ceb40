import time

import picologging
from picologging.handlers import WatchedFileHandler

from linkhaven.clockwork import write_json
from linkhaven.schema import EVENTS

LEVELS = {
    "debug": picologging.DEBUG,
    "info": picologging.INFO,
    "warning": picologging.WARNING,
    "error": picologging.ERROR,
}


def stamp():
    seconds, rest_ns = divmod(time.time_ns(), 1_000_000_000)
    return f"{time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(seconds))}.{rest_ns // 1_000:06d}Z"


def make_log(name, level="info", path=None):
    logger = picologging.Logger(f"linkhaven.{name}", LEVELS[level])
    handler = WatchedFileHandler(path) if path else picologging.StreamHandler()
    handler.setFormatter(picologging.Formatter("%(message)s"))
    logger.addHandler(handler)
    writers = {
        "debug": logger.debug,
        "info": logger.info,
        "warning": logger.warning,
        "error": logger.error,
    }

    def log(number, **facts):
        grade, text = EVENTS[number]
        told = write_json(facts).decode() if facts else ""
        writers[grade](f"{stamp()} {grade.upper()} LH{number} {name}: {text} {told}".rstrip())

    return log
