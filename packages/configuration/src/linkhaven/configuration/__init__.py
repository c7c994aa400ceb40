"""The operators' configuration: its form and checks, its store, and how routers follow it.

A *document* is the configuration as JSON, stored and sent as it came; a `Configuration` is the
typed record that all other packages read. Documents: `schema` (form), `document` (records and
defaults), `validation` (checks, decoding), `document_faults` (errors), `patch` (changes by name),
`overlay` (our commands beside a foreign operator's text), `document_diff` (for people), `changes`
(for routers). On the wire and in commands a document is called `plan`.
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
