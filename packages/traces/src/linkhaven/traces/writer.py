import os
import time
from itertools import pairwise

from opentelemetry.exporter.otlp.json.file.trace_exporter import FileSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.trace import set_span_in_context

from linkhaven.api import ServiceError


class TraceWriter:
    """Writes each ended request as one trace: a span for the request, one for each step until the next. A file that
    was moved away is begun anew."""

    __slots__ = ("path", "name", "file", "provider", "tracer", "wall_ns")

    def __init__(self, path, name, wall_ns=time.time_ns):
        self.path = path
        self.name = name
        self.wall_ns = wall_ns
        self.provider = None
        try:
            self._open()
        except OSError as fault:
            raise ServiceError(
                "settings_invalid",
                places=[{"place": "traces", "fault": f"{path}: {fault.strerror}"}],
            ) from None

    def _open(self):
        exporter = FileSpanExporter(self.path)
        self.close()
        resource = Resource({"service.name": "linkhaven-router", "service.instance.id": self.name})
        self.provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        self.provider.add_span_processor(SimpleSpanProcessor(exporter))
        self.tracer = self.provider.get_tracer("linkhaven")
        self.file = self._find()

    def _find(self):
        try:
            found = os.stat(self.path)
        except FileNotFoundError:
            return None
        return found.st_dev, found.st_ino

    def write(self, request, ended_us):
        if self._find() != self.file:
            self._open()
        ended_ns = self.wall_ns()
        begun_ns = ended_ns - (ended_us - request.arrived_us) * 1_000
        span = self.tracer.start_span(
            "request",
            start_time=begun_ns,
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
            facts = {
                f"linkhaven.{key}": value
                for key, value in step.items()
                if key not in ("at_us", "step")
            }
            part = self.tracer.start_span(
                step["step"],
                context=context,
                start_time=begun_ns + step["at_us"] * 1_000,
                attributes=facts,
            )
            part.end(begun_ns + following["at_us"] * 1_000)
        span.end(ended_ns)

    def close(self):
        if self.provider is not None:
            self.provider.shutdown()
