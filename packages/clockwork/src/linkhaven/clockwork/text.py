import json

from linkhaven.schema import Trouble

ENCODER = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False)


def write_json(document):
    return ENCODER.encode(document).encode()


def read_json(body):
    try:
        return json.loads(body.decode() if isinstance(body, bytes) else body)
    except (ValueError, RecursionError) as fault:
        raise Trouble(
            "bad_request", places=[{"place": ".", "fault": f"not JSON: {fault}"[:200]}]
        ) from None
