"""The operators' configuration: its schema and checks, its store, and its distribution to routers.

A *document* is the configuration as JSON, stored and sent as received; a `Configuration` is the
typed record that all other packages read. On the wire and in commands a document is called `plan`.

Documents: `schema` (fields and values), `document` (records and defaults), `validation` (checks and
decoding), `document_faults` (errors), `patch` (changes by name), `overlay` (native commands on top
of an operator's text), `document_diff` (differences for operators), `changes` (differences for
routers).
"""

from .api_keys import digest_api_key
from .blob_exchange import BlobExchange
from .blob_guard import BlobGuard
from .blobs import BlobStore
from .commands import ConfigurationCommands
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
    Tenant,
    record_to_dict,
)
from .document_diff import diff_documents
from .overlay import apply_overlay, effective_configuration
from .packing import write_document
from .pending_blobs import PendingBlobs
from .snapshot import ConfigurationSnapshot
from .store import CommitResult, ConfigurationStore
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
    "Tenant",
    "digest_api_key",
    "BlobExchange",
    "BlobStore",
    "ConfigurationCommands",
    "CommitResult",
    "PendingBlobs",
    "BlobGuard",
    "WatchServer",
    "ConfigurationWatcher",
    "ConfigurationStore",
    "ConfigurationSnapshot",
    "list_document_faults",
    "diff_documents",
    "effective_configuration",
    "decode_configuration",
    "apply_overlay",
    "write_document",
    "record_to_dict",
]
