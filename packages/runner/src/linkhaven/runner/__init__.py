"""Runners: the adapter that calls them, the stream of their answers, and the list of them."""

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
