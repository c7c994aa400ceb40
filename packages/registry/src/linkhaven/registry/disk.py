import json
import os

import lmdb

from linkhaven.schema import Trouble

MAP_BYTES = 1 << 30


class LmdbDisk:
    """The data folder: writes of one turn of the loop go into one synced transaction."""

    __slots__ = ("env", "clock", "waiting", "folder", "most_bytes")

    def __init__(self, folder, most_bytes=MAP_BYTES):
        self.folder = folder
        self.most_bytes = most_bytes
        try:
            self.env = self._open()
        except (
            lmdb.CorruptedError,
            lmdb.InvalidError,
            lmdb.VersionMismatchError,
            lmdb.PageNotFoundError,
        ) as fault:
            raise Trouble("disk_corrupt", data=folder, why=str(fault)) from None
        except (lmdb.Error, OSError) as fault:
            raise Trouble("disk_failing", data=folder, why=str(fault)) from None
        self.clock = None
        self.waiting = []
        self._check(folder)

    def _open(self):
        return lmdb.open(self.folder, map_size=self.most_bytes, sync=True, metasync=True, max_dbs=0)

    def _check(self, folder):
        """A file that ends before its last page would end this process without a word when it is read."""
        needed = (self.env.info()["last_pgno"] + 1) * self.env.stat()["psize"]
        held = os.path.getsize(os.path.join(folder, "data.mdb"))
        try:
            if held < needed:
                raise ValueError(f"data.mdb has {held} of {needed} bytes")
            if not all(
                isinstance(value, list)
                for key, value in self.load().items()
                if key.startswith("cell/")
            ):
                raise ValueError("a record is not one of this program's")
        except (lmdb.Error, ValueError) as fault:
            self.env.close()
            raise Trouble("disk_corrupt", data=folder, why=str(fault)) from None

    def attach(self, clock):
        self.clock = clock

    def load(self):
        with self.env.begin() as txn:
            return {bytes(key).decode(): json.loads(bytes(value)) for key, value in txn.cursor()}

    def write(self, items, done):
        if not self.waiting:
            self.clock.call_in(0, self._sync)
        self.waiting.append(
            (
                {
                    key: json.dumps(value) if value is not None else None
                    for key, value in items.items()
                },
                done,
            )
        )

    def _sync(self):
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
                            txn.put(key.encode(), value.encode())
        except lmdb.PanicError:
            self.close()
            return False
        except (lmdb.Error, OSError):
            return False
        return True

    def close(self):
        """Also after a head that could not be written: that shuts the folder until it is opened anew."""
        if self.env is not None:
            self.env.close()
        self.env = None
