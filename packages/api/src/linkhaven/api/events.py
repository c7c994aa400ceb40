"""The numbered log events.

Operators search and alert on the number, so its meaning must not change; the text may, together
with docs/events.md. The thousands digit is 1 for events of any node and 2 for those of routers.
"""

from typing import Literal, NamedTuple

EventLevel = Literal["info", "warning", "error"]


class EventDefinition(NamedTuple):
    """The level of an event, and its text, which precedes the facts in the log."""

    level: EventLevel
    text: str


EVENTS: dict[int, EventDefinition] = {
    1001: EventDefinition("info", "node started"),
    1002: EventDefinition("info", "node draining"),
    1003: EventDefinition("info", "node stopped"),
    1004: EventDefinition("warning", "tick came late; grants are checked anew"),
    1005: EventDefinition("error", "a message or call could not be handled"),
    1006: EventDefinition("warning", "a line from another process was refused"),
    1007: EventDefinition(
        "error", "log lines were lost: the queue was full, or a write was refused"
    ),
    1008: EventDefinition("warning", "process stopped before its responses were sent"),
    1101: EventDefinition("info", "member is up"),
    1102: EventDefinition("warning", "member is down: most of its watchers suspect it"),
    1103: EventDefinition("info", "a member of another protocol version said hello"),
    1201: EventDefinition("info", "replica recovers without votes"),
    1202: EventDefinition("info", "replica votes"),
    1203: EventDefinition(
        "warning", "replica waits for the operator: more was lost than recovery can rebuild"
    ),
    1204: EventDefinition("warning", "replica was replaced by a newer instance"),
    1205: EventDefinition("error", "disk refused a write; no vote is given"),
    1206: EventDefinition("warning", "operator restored the replica from its own disk"),
    1207: EventDefinition("info", "first configuration taken from a router's snapshot"),
    1208: EventDefinition(
        "info", "keys claimed before this core began were reported; claims are granted"
    ),
    1209: EventDefinition("info", "node waits as a spare for a vacant replica"),
    1210: EventDefinition("info", "member leaves and hands its replica over to a spare"),
    1211: EventDefinition("info", "spare reads the state of a leaving member"),
    1212: EventDefinition(
        "error", "data folder was refused: torn, of another format, or another node's"
    ),
    1213: EventDefinition(
        "error", "refused data was set aside; the member counts as one that lost its disk"
    ),
    1301: EventDefinition("info", "configuration committed"),
    1302: EventDefinition("warning", "configuration change conflicted"),
    1303: EventDefinition("warning", "configuration change ended without a majority"),
    1304: EventDefinition(
        "error", "the blob of a configuration is not the one of its digest; it is refused"
    ),
    1305: EventDefinition("error", "a replica names another blob for the version in force here"),
    1401: EventDefinition("info", "lease won"),
    1402: EventDefinition("warning", "lease lapsed"),
    1403: EventDefinition("info", "shard of tenants won"),
    1404: EventDefinition("info", "shard of tenants released"),
    1405: EventDefinition("warning", "shard of tenants lapsed"),
    1501: EventDefinition("info", "role order sent"),
    1502: EventDefinition("warning", "role order refused"),
    1601: EventDefinition("warning", "runner counts as unresponsive"),
    1602: EventDefinition("info", "runner answers again"),
    1603: EventDefinition("info", "runner is leaving"),
    1604: EventDefinition("info", "runner is on the list"),
    1605: EventDefinition("info", "runner is no longer on the list"),
    1606: EventDefinition("info", "runner has another role"),
    1901: EventDefinition("warning", "invariant violated"),
    1902: EventDefinition("warning", "an invariant of placement was violated"),
    1903: EventDefinition("error", "a slice of a quota was spent beyond its end or its count"),
    2001: EventDefinition("info", "configuration applied"),
    2002: EventDefinition("warning", "node takes no new work"),
    2003: EventDefinition("info", "node takes new work"),
    2101: EventDefinition("info", "request served"),
    2102: EventDefinition("warning", "request ended with an error"),
    2103: EventDefinition("info", "request refused"),
    2104: EventDefinition("warning", "further attempt"),
    2105: EventDefinition("info", "stream moved"),
    2106: EventDefinition("info", "attempt failed"),
    2107: EventDefinition(
        "info", "what was refused for want of a runner, and how the runners stood"
    ),
}
