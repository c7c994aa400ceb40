"""The data folder of a core member, in lmdb: what it voted for, synced before it answers.

`data.mdb` holds records; each value carries a checksum over its key and its text, and the record
`!header` says the format and the node that it belongs to. The file is made under another name,
synced, and then renamed, so that under its own name it is whole or not there:

| after a loss of power | next start |
| --- | --- |
| only `data.mdb.new` | removed: nothing was answered before the folder's sync |
| both names | `data.mdb.new` is removed, `data.mdb` is read |
| neither name | a new folder |
| `data.mdb` without a header, or shorter than its pages | refused: `disk_corrupt` |
| `data.mdb.refused` beside it, or without it | not read; the next one set aside replaces it |
| `lock.mdb` there, missing, or torn | made anew |

Invariant: a file that can't be read as a whole is never read as empty
(`test_no_spoilt_folder_is_read_as_empty`). An empty folder would let the member vote again
where it has voted already (Lamport, Paxos Made Simple, 2.2: an acceptor must remember).

What a caller is told after `write` was synced: the answer to a message waits for it. Errors name
their remedy: `disk_corrupt` (set the folder aside; the member counts as one that lost its disk),
`disk_format` (start the release that wrote it), `disk_foreign` (name the member's own folder),
`disk_failing` (the folder can't be read or written: room, rights or the device).
"""

import json
import os
import zlib
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import lmdb

from linkhaven.api import ServiceError

MAP_BYTES = 1 << 30
"""The most bytes of a folder where the settings don't say."""

FORMAT = 1
"""The version of the format; a folder of another one is refused."""

HEADER = "!header"
"""The key of the record that says format and node."""

SUM_BYTES = 8
"""The checksum's digits in front of each value."""

DATA, NEW, REFUSED, LOCK = "data.mdb", "data.mdb.new", "data.mdb.refused", "lock.mdb"

KEPT_SHARE = 8
"""A refused file is kept only where it has at most this part of the folder's bytes."""

Done = Callable[[bool], None]
"""Is told whether the records are kept."""

CORRUPT_FAULTS = (
    lmdb.CorruptedError,
    lmdb.InvalidError,
    lmdb.VersionMismatchError,
    lmdb.PageNotFoundError,
)


def checksum_of(key: bytes, text: bytes) -> bytes:
    """The checksum of one record, in hexadecimal digits."""
    return b"%08x" % zlib.crc32(text, zlib.crc32(key))


def pack_value(key: bytes, value: Any) -> bytes:
    """A record's value as it is stored."""
    text = json.dumps(value).encode()
    return checksum_of(key, text) + text


def unpack_value(key: bytes, stored: bytes) -> Any:
    """The value of a record; ValueError for one that was not stored by `pack_value`."""
    text = stored[SUM_BYTES:]
    if stored[:SUM_BYTES] != checksum_of(key, text):
        raise ValueError(f"record {key.decode(errors='replace')} has another checksum")
    return json.loads(text)


class Clock(Protocol):
    """Calls functions in later turns of the loop."""

    def call_in(self, delay_us: int, deed: Callable[[], None]) -> Any:
        """Call it after this time; 0 for the end of this turn."""


def sync_folder(folder: str) -> None:
    """Make names last that were made, renamed or removed."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class LmdbStorage:
    """The data folder: writes of one turn of the loop go into one synced transaction.

    `env`: the open environment, None after it shut itself. `waiting`: the writes of this turn.
    `read`: the records as the start read them, until the first write.
    """

    __slots__ = ("env", "clock", "waiting", "folder", "most_bytes", "node", "read")

    def __init__(self, folder: str, most_bytes: int = MAP_BYTES, node: str = "") -> None:
        """Open the folder, or make it where nothing is there.

        `node`: the name that the folder belongs to; another one's is refused. Raises
        `disk_corrupt`, `disk_format`, `disk_foreign` and `disk_failing`.
        """
        self.folder = folder
        self.most_bytes = most_bytes
        self.node = node
        self.clock: Clock | None = None
        self.waiting: list[tuple[dict[str, bytes | None], Done]] = []
        self.env: Any = None
        self.read: dict[str, Any] | None = None
        try:
            self._make_if_new()
            self._check_length()
            self.env = self._open()
        except CORRUPT_FAULTS as fault:
            raise ServiceError("disk_corrupt", data=folder, why=str(fault)) from None
        except (lmdb.Error, OSError) as fault:
            raise ServiceError("disk_failing", data=folder, why=str(fault)) from None
        try:
            self._check()
        except ServiceError:
            self.close()
            raise

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def _open(self) -> Any:
        return lmdb.open(self.folder, map_size=self.most_bytes, sync=True, metasync=True, max_dbs=0)

    def _make_if_new(self) -> None:
        """The file comes under its name with its header synced, and the name is synced."""
        if not os.path.isdir(self.folder):
            os.makedirs(self.folder)
            sync_folder(os.path.dirname(os.path.abspath(self.folder)))
        for name in (NEW, NEW + "-lock"):
            if os.path.exists(self._path(name)):
                os.remove(self._path(name))
        if os.path.exists(self._path(DATA)):
            return
        env = lmdb.open(self._path(NEW), map_size=self.most_bytes, subdir=False, lock=False)
        try:
            with env.begin(write=True) as txn:
                header = {"format": FORMAT, "node": self.node}
                txn.put(HEADER.encode(), pack_value(HEADER.encode(), header))
        finally:
            env.close()
        os.rename(self._path(NEW), self._path(DATA))
        sync_folder(self.folder)

    def _check_length(self) -> None:
        """A file that ends before its first pages would be taken for a new one."""
        if os.path.getsize(self._path(DATA)) == 0:
            raise ServiceError("disk_corrupt", data=self.folder, why="data.mdb has no bytes")

    def _check(self) -> None:
        """A file that ends before its last page would end this process when it is read."""
        needed = (self.env.info()["last_pgno"] + 1) * self.env.stat()["psize"]
        held = os.path.getsize(self._path(DATA))
        try:
            if held < needed:
                raise ValueError(f"data.mdb has {held} of {needed} bytes")
            self._check_header()
            if not all(
                isinstance(value, list)
                for key, value in self.load().items()
                if key.startswith("cell/")
            ):
                raise ValueError("a record is not one of this program's")
        except (lmdb.Error, ValueError) as fault:
            raise ServiceError("disk_corrupt", data=self.folder, why=str(fault)) from None

    def _check_header(self) -> None:
        with self.env.begin() as txn:
            stored = txn.get(HEADER.encode())
            has_records = txn.stat()["entries"] > 0
        if stored is None and has_records:
            raise ServiceError("disk_format", data=self.folder, held=0, reads=FORMAT)
        if stored is None:
            raise ValueError("data.mdb has no header")
        header = unpack_value(HEADER.encode(), bytes(stored))
        if header["format"] != FORMAT:
            raise ServiceError("disk_format", data=self.folder, held=header["format"], reads=FORMAT)
        if header["node"] != self.node:
            raise ServiceError(
                "disk_foreign", data=self.folder, held=header["node"], node=self.node
            )

    def attach(self, clock: Clock) -> None:
        """The clock whose turns the writes are gathered by."""
        self.clock = clock

    def load(self) -> dict[str, Any]:
        """All records but the header; raises ValueError where one was not stored whole.

        A start reads the folder once: what its check read is kept until the first write.
        """
        if self.read is None:
            self.read = self._read()
        return dict(self.read)

    def _read(self) -> dict[str, Any]:
        with self.env.begin() as txn:
            return {
                bytes(key).decode(): unpack_value(bytes(key), bytes(value))
                for key, value in txn.cursor()
                if bytes(key) != HEADER.encode()
            }

    def write(self, items: Mapping[str, Any], done: Done) -> None:
        """Keep these records, None removing one; `done(is_kept)` after the sync."""
        self.read = None
        if not self.waiting:
            assert self.clock is not None
            self.clock.call_in(0, self._sync)
        packed = {
            key: pack_value(key.encode(), value) if value is not None else None
            for key, value in items.items()
        }
        self.waiting.append((packed, done))

    def _sync(self) -> None:
        self.read = None
        waiting, self.waiting = self.waiting, []
        is_kept = self._keep(waiting)
        for _, done in waiting:
            done(is_kept)

    def _keep(self, waiting: list[tuple[dict[str, bytes | None], Done]]) -> bool:
        """Whether all of this turn's writes are synced.

        False also where the map or the device is full: then nothing of the turn is kept, each
        writer hears so, and a replica refuses the vote (event 1205) and goes on once writes go
        through again.
        """
        try:
            if self.env is None:
                self.env = self._open()
            with self.env.begin(write=True) as txn:
                for items, _ in waiting:
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
        """Close the folder; the next write opens it anew.

        Also done after a head that could not be written, which shuts the environment.
        """
        if self.env is not None:
            self.env.close()
        self.env = None


def set_aside(folder: str, most_bytes: int) -> None:
    """Take the refused file out of the way.

    One is kept to be looked at, unless it fills the disk. Raises OSError.
    """
    data, refused = os.path.join(folder, DATA), os.path.join(folder, REFUSED)
    if os.path.getsize(data) * KEPT_SHARE > most_bytes:
        os.remove(data)
    else:
        os.replace(data, refused)
    sync_folder(folder)


def open_storage(
    folder: str,
    most_bytes: int,
    node: str,
    log: Callable[..., None],
    sets_aside: bool = False,
) -> LmdbStorage:
    """Open a member's folder; one that is refused is named in the log.

    With `sets_aside` a torn or foreign folder is taken out of the way, and the member counts as one
    that lost its disk. One of another format is whole and good for another release: it is never set
    aside. Raises as `LmdbStorage` does.
    """
    try:
        return LmdbStorage(folder, most_bytes, node)
    except ServiceError as error:
        if error.code == "disk_failing":
            raise
        log(1212, code=error.code, **error.detail)
        if not sets_aside or error.code == "disk_format":
            raise
    try:
        set_aside(folder, most_bytes)
    except OSError as fault:
        raise ServiceError("disk_failing", data=folder, why=str(fault)) from None
    log(1213, data=folder)
    return LmdbStorage(folder, most_bytes, node)
