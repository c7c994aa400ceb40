SEARCH_US = 200_000
FRESH_US = 700_000
LOOK_US = 500_000
LOST_VACANCIES, CALLED_VACANCIES = 4, 2


class ReplicaInstances:
    """Who has which seat. A voting seat keeps the last occupant of each on its disk and says which stand vacant; a
    spare asks all of them, and takes a seat that all who answer hold for vacant, or that was its own."""

    __slots__ = (
        "node",
        "replica",
        "records",
        "gone_us",
        "looked_us",
        "told",
        "asked_us",
        "contact",
        "lost_us",
    )

    def __init__(self, node, replica, records):
        self.node = node
        self.replica = replica
        self.records = records
        self.gone_us = {}
        self.looked_us = 0
        self.told = {}
        self.asked_us = 0
        self.contact = node.address
        self.lost_us = None
        node.map_handlers.update(occupants=self.hear_ask, occupants_told=self.hear_told)

    @property
    def is_trying(self):
        """A spare on its way to a seat that it never voted on."""
        return self.replica.is_learned and self.replica.is_empty and bool(self.replica.replica_id)

    def addresses(self):
        return [address for _, _, _, address in self.records.values()]

    def emptied(self):
        """Seats whose last occupant runs and has none: its disk is lost, and nothing more will come from it."""
        members = self.replica.directory.peers
        return {
            replica_id
            for replica_id, (_, _, name, address) in self.records.items()
            if name in members
            and members[name].is_up
            and members[name].address == address
            and not members[name].replica_id
        }

    def name_of(self, replica_id):
        return self.records[replica_id][2] if replica_id in self.records else ""

    def expect(self, contacts):
        """A first start: the contacts take the first seats."""
        for replica_id, contact in zip(self.replica.replica_ids, contacts, strict=False):
            if replica_id != self.replica.replica_id:
                self.records[replica_id] = [1, "", "", contact]

    def note(self, message):
        """One occupant for each incarnation of a seat; answers whether it is this one."""
        replica_id, incarnation, start = message["seat"], message["incarnation"], message["start"]
        held = self.records.get(replica_id)
        if held is not None:
            if incarnation < held[0]:
                return False
            is_other = held[1] != start if held[1] else held[2] not in ("", message["name"])
            if incarnation == held[0] and is_other:
                return False
        self.records[replica_id] = [incarnation, start, message["name"], message["back"]]
        self.gone_us.pop(replica_id, None)
        return True

    def tick(self, now_us):
        if now_us - self.looked_us < LOOK_US:
            return
        self.looked_us = now_us
        for replica_id in self.records:
            self._is_vacant(replica_id, now_us)
        if self._learn():
            self.node.ports.storage.write({"occupants": dict(self.records)}, lambda is_kept: None)

    def _learn(self):
        is_new = False
        for replica_id, member in self.replica.directory.replica_members().items():
            held = self.records.get(replica_id)
            if (
                replica_id == self.replica.replica_id
                or held is not None
                and member.replica_incarnation < held[0]
            ):
                continue
            start = held[1] if held is not None and held[0] == member.replica_incarnation else ""
            if start and held[2] != member.name:
                continue
            record = [member.replica_incarnation, start, member.name, member.address]
            if record != held:
                self.records[replica_id] = record
                is_new = True
        return is_new

    def _is_vacant(self, replica_id, now_us):
        held = self.records.get(replica_id)
        if held is None:
            return True
        member = self.replica.directory.replica_members().get(replica_id)
        if member is not None and member.replica_incarnation >= held[0]:
            if member.has_left:
                return True
            if member.is_up:
                self.gone_us.pop(replica_id, None)
                return False
        return now_us - self.gone_us.setdefault(replica_id, now_us) >= self.node.bounds.vacant_us

    def is_taken(self, message):
        """By another than the one who asks."""
        replica_id = message["seat"]
        if replica_id == self.replica.replica_id:
            return True
        _, _, name, address = self.records.get(replica_id, [0, "", "", ""])
        return (
            name != message["name"]
            and address != message["back"]
            and not self._is_vacant(replica_id, self.node.now_us())
        )

    def hear_ask(self, message):
        if not self.replica.is_voting:
            return
        now_us = self.node.now_us()
        self._learn()
        table = {self.replica.replica_id: [self.node.name, self.node.address, False]}
        for replica_id in self.replica.replica_ids:
            if replica_id != self.replica.replica_id:
                _, _, name, address = self.records.get(replica_id, [0, "", "", ""])
                table[replica_id] = [name, address, self._is_vacant(replica_id, now_us)]
        self.node.send_untyped(
            message["back"], "occupants_told", seat=self.replica.replica_id, table=table
        )

    def hear_told(self, message):
        if self.replica.replica_id or self.replica.successor.is_learning():
            return
        self.told[message["seat"]] = (message["table"], self.node.now_us())
        self._choose()

    def search(self, now_us):
        if now_us - self.asked_us < SEARCH_US:
            return
        self.asked_us = now_us
        for address, _ in self.replica.directory.replicas().values():
            self.node.send_untyped(address, "occupants")
        self._begin_anew(now_us)

    def _begin_anew(self, now_us):
        """Every disk of the core is lost: as many spares as there are seats, and a router, know of no seat that was
        ever taken. They take the seats in the order of their names and begin as a first start does."""
        directory = self.replica.directory
        vacant_us = self.node.bounds.vacant_us
        if not self._is_core_lost(directory):
            self.lost_us = None
            return
        if self.lost_us is None:
            self.lost_us = now_us
        is_called = any(member.replica_id for member in directory.peers.values())
        if now_us - self.lost_us < vacant_us * (CALLED_VACANCIES if is_called else LOST_VACANCIES):
            return
        self.lost_us = None
        names = sorted(
            [self.node.name, *(member.name for member in directory.live_members("registry"))]
        )
        place = names.index(self.node.name)
        if place < len(self.replica.replica_ids):
            self.replica.take_anew(self.replica.replica_ids[place])

    def _is_core_lost(self, directory):
        if self.told or not self.replica.is_empty or not directory.live_members("router"):
            return False
        if any(
            member.replica_id and member.replica_incarnation for member in directory.peers.values()
        ):
            return False
        return len(directory.live_members("registry")) + 1 >= len(self.replica.replica_ids)

    def _choose(self):
        now_us = self.node.now_us()
        tables = [table for table, told_us in self.told.values() if now_us - told_us < FRESH_US]
        if len(tables) < len(self.replica.replica_ids) - self.replica.majority + 1:
            return
        own = [
            replica_id
            for replica_id in self.replica.replica_ids
            if all(self._is_own(table[replica_id]) for table in tables)
        ]
        vacant = [
            replica_id
            for replica_id in self.replica.replica_ids
            if all(table[replica_id][2] for table in tables)
        ]
        if own:
            return self._take(own[0])
        newcomers = sorted(
            [
                self.node.name,
                *(
                    member.name
                    for member in self.replica.directory.live_members("registry")
                    if not member.replica_id
                ),
            ]
        )
        place = newcomers.index(self.node.name)
        if place < len(vacant):
            self._take(vacant[place])

    def _is_own(self, row):
        name, address, _ = row
        return name == self.node.name or address in (self.node.address, self.contact)

    def _take(self, replica_id):
        self.told = {}
        self.replica.take(replica_id)
