"""Writes finished requests as traces to a file, with one line of OTLP JSON per span.

The format is that of OpenTelemetry's file exporter, which collectors can read.
"""

import os
import time
from collections.abc import Callable, Sequence
from itertools import pairwise
from typing import Any, Protocol

from opentelemetry.context import Context
from opentelemetry.exporter.otlp.json.file.trace_exporter import FileSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.trace import Tracer, set_span_in_context

from linkhaven.api import ServiceError

NS_PER_US = 1_000
SERVICE_NAME = "linkhaven-router"
ATTRIBUTE_PREFIX = "linkhaven."
STEP_FIELDS = ("at_us", "step")
"""Fields of a step that become the time and name of its span, not attributes."""

FileIdentity = tuple[int, int]
"""Device and inode, which show whether a path still refers to the same file."""


class EndedRequest(Protocol):
    """The attributes of a finished request that a trace contains.

    `steps` are in the order of time. In each, `step` is its name and `at_us` the time since the
    request's arrival in microseconds; other items become attributes of its span. `arrived_us` is on
    the node's monotonic clock, in microseconds.
    """

    id: str
    kind_name: str | None
    group: str | None
    outcome: str | None
    attempts: int
    tokens: int
    arrived_us: int
    steps: Sequence[dict[str, Any]]


class TraceWriter:
    """Writes each finished request as one trace: a root span, and a child span for each step.

    The span of a step lasts until the next step, so the last step has none. If the file was moved
    away, as by log rotation, a new one is opened.
    """

    __slots__ = ("path", "name", "file", "provider", "tracer", "wall_ns")

    def __init__(self, path: str, name: str, wall_ns: Callable[[], int] = time.time_ns) -> None:
        """Open the file for the router `name`; `wall_ns` returns the wall-clock time in ns.

        Raises ServiceError `settings_invalid` if the file can't be opened.
        """
        self.path = path
        self.name = name
        self.wall_ns = wall_ns
        self.provider: TracerProvider | None = None
        try:
            self._open()
        except OSError as fault:
            raise ServiceError(
                "settings_invalid",
                places=[{"place": "traces", "fault": f"{path}: {fault.strerror}"}],
            ) from None

    def _open(self) -> None:
        exporter = FileSpanExporter(self.path)
        self.close()
        resource = Resource({"service.name": SERVICE_NAME, "service.instance.id": self.name})
        provider = self.provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        self.tracer: Tracer = provider.get_tracer("linkhaven")
        self.file = self._file_identity()

    def _file_identity(self) -> FileIdentity | None:
        try:
            found = os.stat(self.path)
        except FileNotFoundError:
            return None
        return found.st_dev, found.st_ino

    def write(self, request: EndedRequest, ended_us: int) -> None:
        """Write the trace of a request that ended now, which is `ended_us` on the node's clock."""
        if self._file_identity() != self.file:
            self._open()
        ended_ns = self.wall_ns()
        started_ns = ended_ns - (ended_us - request.arrived_us) * NS_PER_US
        span = self.tracer.start_span(
            "request",
            start_time=started_ns,
            attributes={
                "linkhaven.request": request.id,
                "linkhaven.kind": request.kind_name or "",
                "linkhaven.group": request.group or "",
                "linkhaven.outcome": request.outcome,
                "linkhaven.attempts": request.attempts,
                "linkhaven.tokens": request.tokens,
            },
        )
        context = set_span_in_context(span)
        for step, following in pairwise(request.steps):
            self._write_step(context, started_ns, step, following["at_us"])
        span.end(ended_ns)

    def _write_step(
        self, context: Context, started_ns: int, step: dict[str, Any], until_us: int
    ) -> None:
        """Write the span of one step, from its time to `until_us`, both since the arrival."""
        attributes = {
            f"{ATTRIBUTE_PREFIX}{key}": value
            for key, value in step.items()
            if key not in STEP_FIELDS
        }
        span = self.tracer.start_span(
            step["step"],
            context=context,
            start_time=started_ns + step["at_us"] * NS_PER_US,
            attributes=attributes,
        )
        span.end(started_ns + until_us * NS_PER_US)

    def close(self) -> None:
        """Flush and close the exporter; nothing may be written afterwards."""
        if self.provider is not None:
            self.provider.shutdown()
