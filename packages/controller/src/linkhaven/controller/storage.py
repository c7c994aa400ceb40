"""The data folder of a core member, stored in LMDB and synced before any message is answered.

`data.mdb` holds the records. Each value carries a checksum over its key and text, and the record
`!header` holds the format version and the name of the node that the folder belongs to. The file is
created under a temporary name, synced and then renamed, so that under its own name it is either
complete or absent:

| found after a power loss | at the next start |
| --- | --- |
| only `data.mdb.new` | removed: nothing was answered before the folder was synced |
| both names | `data.mdb.new` is removed, `data.mdb` is read |
| neither name | a new folder is created |
| `data.mdb` without a header, or shorter than its pages | rejected: `disk_corrupt` |
| `data.mdb.refused`, with or without `data.mdb` | not read; overwritten by the next rejected file |
| `lock.mdb` present, missing, or torn | created anew |

Invariant: a file that can't be read completely is never treated as empty
(`test_no_corrupt_folder_is_read_as_empty`). With an empty folder the member could vote again where
it has already voted (Lamport, Paxos Made Simple, 2.2: an acceptor must remember).

A write is reported as done only after its sync, and the answer to a message waits for that. Each
error code has a remedy:

- `disk_corrupt`: set the folder aside; the member then counts as one that lost its disk;
- `disk_format`: start the release that wrote the folder;
- `disk_foreign`: configure the member's own folder;
- `disk_failing`: the folder can't be read or written; check free space, permissions and the device.
"""

import json
import os
import zlib
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import lmdb

from linkhaven.api import ServiceError

DEFAULT_MAX_BYTES = 1 << 30
"""The maximum size of a folder in bytes if the settings give none."""

FORMAT_VERSION = 1
"""The version of the format; a folder of another version is rejected."""

HEADER_KEY = "!header"
"""The key of the record that holds the format version and the node's name."""

CHECKSUM_DIGITS = 8
"""The length of the hexadecimal checksum in front of each value."""

DATA_FILE, NEW_FILE, REFUSED_FILE, LOCK_FILE = (
    "data.mdb",
    "data.mdb.new",
    "data.mdb.refused",
    "lock.mdb",
)

REFUSED_SIZE_DIVISOR = 8
"""A rejected file is kept only if it is at most 1/8 of the folder's maximum size."""

WriteCallback = Callable[[bool], None]
"""Called with whether the records were synced to disk."""

CORRUPTION_ERRORS = (
    lmdb.CorruptedError,
    lmdb.InvalidError,
    lmdb.VersionMismatchError,
    lmdb.PageNotFoundError,
)


def checksum_of(key: bytes, text: bytes) -> bytes:
    """The checksum of one record, in hexadecimal digits."""
    return b"%08x" % zlib.crc32(text, zlib.crc32(key))


def pack_value(key: bytes, value: Any) -> bytes:
    """Encode a record's value for storage, with its checksum."""
    text = json.dumps(value).encode()
    return checksum_of(key, text) + text


def unpack_value(key: bytes, stored: bytes) -> Any:
    """Decode a stored value; raises ValueError if `pack_value` didn't write it under this key."""
    text = stored[CHECKSUM_DIGITS:]
    if stored[:CHECKSUM_DIGITS] != checksum_of(key, text):
        raise ValueError(f"record {key.decode(errors='replace')} fails its checksum")
    return json.loads(text)


class Clock(Protocol):
    """Schedules callbacks on the event loop."""

    def call_in(self, delay_us: int, callback: Callable[[], None]) -> Any:
        """Call it after `delay_us` microseconds; 0 means at the end of this loop iteration."""


def sync_folder(folder: str) -> None:
    """Sync a directory, so that created, renamed and removed names survive a power loss."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class LmdbStorage:
    """The data folder: all writes of one loop iteration share one synced transaction.

    `env`: the open LMDB environment, None while it is closed. `pending`: the writes of this loop
    iteration. `cached_records`: the records as read at the start, until the first write.
    """

    __slots__ = ("env", "clock", "pending", "folder", "max_bytes", "node", "cached_records")

    def __init__(self, folder: str, max_bytes: int = DEFAULT_MAX_BYTES, node: str = "") -> None:
        """Open the folder, or create it if it doesn't exist.

        `max_bytes`: the maximum size of the folder. `node`: the name of the node that the folder
        belongs to; the folder of another node is rejected. Raises `disk_corrupt`, `disk_format`,
        `disk_foreign` and `disk_failing`.
        """
        self.folder = folder
        self.max_bytes = max_bytes
        self.node = node
        self.clock: Clock | None = None
        self.pending: list[tuple[dict[str, bytes | None], WriteCallback]] = []
        self.env: Any = None
        self.cached_records: dict[str, Any] | None = None
        try:
            self._create_if_missing()
            self._check_not_empty()
            self.env = self._open()
        except CORRUPTION_ERRORS as fault:
            raise ServiceError("disk_corrupt", data=folder, why=str(fault)) from None
        except (lmdb.Error, OSError) as fault:
            raise ServiceError("disk_failing", data=folder, why=str(fault)) from None
        try:
            self._verify()
        except ServiceError:
            self.close()
            raise

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def _open(self) -> Any:
        return lmdb.open(self.folder, map_size=self.max_bytes, sync=True, metasync=True, max_dbs=0)

    def _create_if_missing(self) -> None:
        """Create the file under a temporary name with a synced header, then rename and sync it."""
        if not os.path.isdir(self.folder):
            os.makedirs(self.folder)
            sync_folder(os.path.dirname(os.path.abspath(self.folder)))
        for name in (NEW_FILE, NEW_FILE + "-lock"):
            if os.path.exists(self._path(name)):
                os.remove(self._path(name))
        if os.path.exists(self._path(DATA_FILE)):
            return
        env = lmdb.open(self._path(NEW_FILE), map_size=self.max_bytes, subdir=False, lock=False)
        try:
            with env.begin(write=True) as txn:
                header = {"format": FORMAT_VERSION, "node": self.node}
                txn.put(HEADER_KEY.encode(), pack_value(HEADER_KEY.encode(), header))
        finally:
            env.close()
        os.rename(self._path(NEW_FILE), self._path(DATA_FILE))
        sync_folder(self.folder)

    def _check_not_empty(self) -> None:
        """Reject an empty file, which LMDB would treat as a new one."""
        if os.path.getsize(self._path(DATA_FILE)) == 0:
            raise ServiceError("disk_corrupt", data=self.folder, why="data.mdb is empty")

    def _verify(self) -> None:
        """Check length, header and records; reading a truncated file would crash the process."""
        needed = (self.env.info()["last_pgno"] + 1) * self.env.stat()["psize"]
        held = os.path.getsize(self._path(DATA_FILE))
        try:
            if held < needed:
                raise ValueError(f"data.mdb has {held} of {needed} bytes: it is truncated")
            self._check_header()
            if not all(
                isinstance(value, list)
                for key, value in self.load().items()
                if key.startswith("cell/")
            ):
                raise ValueError("a register record is not a list")
        except (lmdb.Error, ValueError) as fault:
            raise ServiceError("disk_corrupt", data=self.folder, why=str(fault)) from None

    def _check_header(self) -> None:
        with self.env.begin() as txn:
            stored = txn.get(HEADER_KEY.encode())
            has_records = txn.stat()["entries"] > 0
        if stored is None and has_records:
            raise ServiceError("disk_format", data=self.folder, held=0, reads=FORMAT_VERSION)
        if stored is None:
            raise ValueError("data.mdb has no header")
        header = unpack_value(HEADER_KEY.encode(), bytes(stored))
        if header["format"] != FORMAT_VERSION:
            raise ServiceError(
                "disk_format", data=self.folder, held=header["format"], reads=FORMAT_VERSION
            )
        if header["node"] != self.node:
            raise ServiceError(
                "disk_foreign", data=self.folder, held=header["node"], node=self.node
            )

    def attach(self, clock: Clock) -> None:
        """Set the clock that schedules the sync at the end of a loop iteration."""
        self.clock = clock

    def load(self) -> dict[str, Any]:
        """All records except the header; raises ValueError if one is corrupt.

        The folder is read only once per start: the records read by the check are cached until the
        first write.
        """
        if self.cached_records is None:
            self.cached_records = self._read()
        return dict(self.cached_records)

    def _read(self) -> dict[str, Any]:
        with self.env.begin() as txn:
            return {
                bytes(key).decode(): unpack_value(bytes(key), bytes(value))
                for key, value in txn.cursor()
                if bytes(key) != HEADER_KEY.encode()
            }

    def write(self, items: Mapping[str, Any], done: WriteCallback) -> None:
        """Store these records (None removes one) and call `done(is_kept)` after the sync."""
        self.cached_records = None
        if not self.pending:
            assert self.clock is not None
            self.clock.call_in(0, self._sync)
        packed = {
            key: pack_value(key.encode(), value) if value is not None else None
            for key, value in items.items()
        }
        self.pending.append((packed, done))

    def _sync(self) -> None:
        self.cached_records = None
        pending, self.pending = self.pending, []
        is_kept = self._commit(pending)
        for _, done in pending:
            done(is_kept)

    def _commit(self, pending: list[tuple[dict[str, bytes | None], WriteCallback]]) -> bool:
        """Write all pending records in one transaction; whether they were synced.

        If the map or the device is full, nothing is stored and every writer is told so. A replica
        then refuses the vote (event 1205), and continues once writes succeed again.
        """
        try:
            if self.env is None:
                self.env = self._open()
            with self.env.begin(write=True) as txn:
                for items, _ in pending:
                    for key, value in items.items():
                        if value is None:
                            txn.delete(key.encode())
                        else:
                            txn.put(key.encode(), value)
        except lmdb.PanicError:
            self.close()
            return False
        except (lmdb.Error, OSError):
            return False
        return True

    def close(self) -> None:
        """Close the folder; the next write reopens it.

        This is also done when a meta page could not be written, since LMDB then disables the
        environment.
        """
        if self.env is not None:
            self.env.close()
        self.env = None


def set_aside(folder: str, max_bytes: int) -> None:
    """Move the rejected data file out of the way.

    The latest one is kept for inspection, unless it is too large (`REFUSED_SIZE_DIVISOR`). Raises
    OSError.
    """
    data, refused = os.path.join(folder, DATA_FILE), os.path.join(folder, REFUSED_FILE)
    if os.path.getsize(data) * REFUSED_SIZE_DIVISOR > max_bytes:
        os.remove(data)
    else:
        os.replace(data, refused)
    sync_folder(folder)


def open_storage(
    folder: str,
    max_bytes: int,
    node: str,
    log: Callable[..., None],
    sets_aside: bool = False,
) -> LmdbStorage:
    """Open a member's folder; a rejected folder is logged.

    With `sets_aside` a corrupt or foreign data file is set aside and the member counts as one that
    lost its disk. A folder of another format is intact and usable by another release, so it is
    never set aside. Raises the errors of `LmdbStorage`.
    """
    try:
        return LmdbStorage(folder, max_bytes, node)
    except ServiceError as error:
        if error.code == "disk_failing":
            raise
        log(1212, code=error.code, **error.detail)
        if not sets_aside or error.code == "disk_format":
            raise
    try:
        set_aside(folder, max_bytes)
    except OSError as fault:
        raise ServiceError("disk_failing", data=folder, why=str(fault)) from None
    log(1213, data=folder)
    return LmdbStorage(folder, max_bytes, node)
