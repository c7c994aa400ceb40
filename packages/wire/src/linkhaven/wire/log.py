import picologging

from linkhaven.clockwork import write_json
from linkhaven.schema import EVENTS

LEVELS = {"debug": picologging.DEBUG, "info": picologging.INFO, "warning": picologging.WARNING, "error": picologging.ERROR}


def make_log(name, level="info", path=None):
    logger = picologging.Logger(f"linkhaven.{name}", LEVELS[level])
    handler = picologging.FileHandler(path) if path else picologging.StreamHandler()
    handler.setFormatter(picologging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    logger.addHandler(handler)
    writers = {
        "debug": logger.debug, "info": logger.info, "warning": logger.warning, "error": logger.error,
    }

    def log(number, **facts):
        grade, text = EVENTS[number]
        writers[grade](f"LH{number} {name}: {text} {write_json(facts).decode() if facts else ''}".rstrip())

    return log
