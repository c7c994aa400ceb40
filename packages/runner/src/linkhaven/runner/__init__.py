"""Runners: the client that calls them, the event stream of their answers, and the roster."""

from .adapter import RunnerClient
from .pieces import Piece, PieceReader, write_event
from .roster import PLAIN, IncarnationHistory, Roster, Runner

__all__ = [
    "PLAIN",
    "Piece",
    "PieceReader",
    "Roster",
    "Runner",
    "RunnerClient",
    "IncarnationHistory",
    "write_event",
]
