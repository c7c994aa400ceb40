"""The plan: its checks, its place in the register, and how routers hear of it."""

from .blobs import BlobStore
from .document import (
    Allowance,
    ClaimSettings,
    Configuration,
    Group,
    HttpLimits,
    PlacementSettings,
    PoolSettings,
    PoolWeight,
    QueueBounds,
    RequestKind,
    RetryBudgetSettings,
    write_record,
)
from .document_diff import diff_documents
from .overlay import apply_overlay, effective_configuration
from .packing import write_plan
from .snapshot import ConfigurationSnapshot
from .store import ConfigurationStore
from .validation import decode_configuration, list_document_faults
from .watch_server import WatchServer
from .watcher import ConfigurationWatcher

__all__ = [
    "Allowance",
    "ClaimSettings",
    "Configuration",
    "Group",
    "HttpLimits",
    "PlacementSettings",
    "PoolSettings",
    "PoolWeight",
    "QueueBounds",
    "RequestKind",
    "RetryBudgetSettings",
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
    "write_record",
]
