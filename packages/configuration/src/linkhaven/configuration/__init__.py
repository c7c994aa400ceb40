"""The plan: its checks, its place in the register, and how routers hear of it."""

from .blobs import BlobStore
from .check import decode_configuration, diff_documents, list_document_faults
from .overlay import apply_overlay, effective_configuration
from .packing import write_plan
from .snapshot import ConfigurationSnapshot
from .store import ConfigurationStore
from .watch_server import WatchServer
from .watcher import ConfigurationWatcher

__all__ = [
    "BlobStore",
    "WatchServer",
    "ConfigurationWatcher",
    "ConfigurationStore",
    "ConfigurationSnapshot",
    "list_document_faults",
    "diff_documents",
    "effective_configuration",
    "decode_configuration",
    "apply_overlay",
    "write_plan",
]
