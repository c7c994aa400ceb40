import json

import lmdb

from linkhaven.schema import Trouble

MAP_BYTES = 1 << 30


class LmdbDisk:
    """The data folder: writes of one turn of the loop go into one synced transaction."""

    __slots__ = ("env", "clock", "waiting")

    def __init__(self, folder):
        try:
            self.env = lmdb.open(folder, map_size=MAP_BYTES, sync=True, metasync=True, max_dbs=0)
        except (lmdb.Error, OSError) as fault:
            raise Trouble("disk_failing", data=folder, why=str(fault)) from None
        self.clock = None
        self.waiting = []

    def attach(self, clock):
        self.clock = clock

    def load(self):
        with self.env.begin() as txn:
            return {bytes(key).decode(): json.loads(bytes(value)) for key, value in txn.cursor()}

    def write(self, items, done):
        if not self.waiting:
            self.clock.call_in(0, self._sync)
        self.waiting.append(({key: json.dumps(value) if value is not None else None for key, value in items.items()}, done))

    def _sync(self):
        waiting, self.waiting = self.waiting, []
        try:
            with self.env.begin(write=True) as txn:
                for items, _ in waiting:
                    for key, value in items.items():
                        if value is None:
                            txn.delete(key.encode())
                        else:
                            txn.put(key.encode(), value.encode())
            is_kept = True
        except (lmdb.Error, OSError):
            is_kept = False
        for _, done in waiting:
            done(is_kept)

    def close(self):
        self.env.close()
