"""The data folder of a core member: what it voted for, synced before it answers.

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
(`test_no_spoilt_folder_is_read_as_empty`)."""

import json
import os
import zlib

import lmdb

from linkhaven.api import ServiceError

MAP_BYTES = 1 << 30
FORMAT = 1
HEADER = "!header"
SUM_BYTES = 8
DATA, NEW, REFUSED, LOCK = "data.mdb", "data.mdb.new", "data.mdb.refused", "lock.mdb"
KEPT_SHARE = 8
CORRUPT_FAULTS = (
    lmdb.CorruptedError,
    lmdb.InvalidError,
    lmdb.VersionMismatchError,
    lmdb.PageNotFoundError,
)


def sum_of(key, text):
    """The checksum of one record, in hexadecimal digits."""
    return b"%08x" % zlib.crc32(text, zlib.crc32(key))


def pack_value(key, value):
    """A record's value as it is stored."""
    text = json.dumps(value).encode()
    return sum_of(key, text) + text


def unpack_value(key, stored):
    """The value of a record; ValueError for one that was not stored by `pack_value`."""
    text = stored[SUM_BYTES:]
    if stored[:SUM_BYTES] != sum_of(key, text):
        raise ValueError(f"record {key.decode(errors='replace')} has another checksum")
    return json.loads(text)


def sync_folder(folder):
    """Names that were made, renamed or removed last from here on."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class LmdbStorage:
    """The data folder: writes of one turn of the loop go into one synced transaction."""

    __slots__ = ("env", "clock", "waiting", "folder", "most_bytes", "node", "read")

    def __init__(self, folder, most_bytes=MAP_BYTES, node=""):
        """`node`: the name that the folder belongs to; another one's is refused."""
        self.folder = folder
        self.most_bytes = most_bytes
        self.node = node
        self.clock = None
        self.waiting = []
        self.env = None
        self.read = None
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

    def _path(self, name):
        return os.path.join(self.folder, name)

    def _open(self):
        return lmdb.open(self.folder, map_size=self.most_bytes, sync=True, metasync=True, max_dbs=0)

    def _make_if_new(self):
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

    def _check_length(self):
        """A file that ends before its first pages would be taken for a new one."""
        if os.path.getsize(self._path(DATA)) == 0:
            raise ServiceError("disk_corrupt", data=self.folder, why="data.mdb has no bytes")

    def _check(self):
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

    def _check_header(self):
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

    def attach(self, clock):
        """The clock whose turns the writes are gathered by."""
        self.clock = clock

    def load(self):
        """All records but the header; ValueError where one was not stored whole. A start reads
        the folder once: what its check read is kept until the first write."""
        if self.read is None:
            self.read = self._read()
        return dict(self.read)

    def _read(self):
        with self.env.begin() as txn:
            return {
                bytes(key).decode(): unpack_value(bytes(key), bytes(value))
                for key, value in txn.cursor()
                if bytes(key) != HEADER.encode()
            }

    def write(self, items, done):
        """Keep these records, None removing one; `done(is_kept)` after the sync."""
        self.read = None
        if not self.waiting:
            self.clock.call_in(0, self._sync)
        packed = {
            key: pack_value(key.encode(), value) if value is not None else None
            for key, value in items.items()
        }
        self.waiting.append((packed, done))

    def _sync(self):
        self.read = None
        waiting, self.waiting = self.waiting, []
        is_kept = self._keep(waiting)
        for _, done in waiting:
            done(is_kept)

    def _keep(self, waiting):
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

    def close(self):
        """Also after a head that could not be written: that shuts the folder until it opens
        anew."""
        if self.env is not None:
            self.env.close()
        self.env = None


def set_aside(folder, most_bytes):
    """Take the refused file out of the way; one is kept to be looked at, unless it fills the
    disk."""
    data, refused = os.path.join(folder, DATA), os.path.join(folder, REFUSED)
    if os.path.getsize(data) * KEPT_SHARE > most_bytes:
        os.remove(data)
    else:
        os.replace(data, refused)
    sync_folder(folder)


def open_storage(folder, most_bytes, node, log, sets_aside=False):
    """Open a member's folder. One that is refused is named in the log; with `sets_aside` a torn or
    foreign one is taken out of the way, and the member counts as one that lost its disk. One of
    another format is whole and good for another release: it is never set aside."""
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
