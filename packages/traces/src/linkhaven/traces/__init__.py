"""Exports finished requests as OpenTelemetry traces in OTLP JSON."""

from .writer import EndedRequest, TraceWriter

__all__ = ["EndedRequest", "TraceWriter"]
