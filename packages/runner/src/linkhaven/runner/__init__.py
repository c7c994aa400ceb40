from .adapter import RunnerDesk
from .pieces import Piece, PieceReader, write_event
from .roster import Roster, Runner

__all__ = ["Piece", "PieceReader", "Roster", "Runner", "RunnerDesk", "write_event"]
