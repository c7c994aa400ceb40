SEARCH_US = 200_000
FRESH_US = 700_000
LOOK_US = 500_000
LOST_VACANCIES, CALLED_VACANCIES = 4, 2


class Occupants:
    """Who has which seat. A voting seat keeps the last occupant of each on its disk and says which stand vacant; a
    spare asks all of them, and takes a seat that all who answer hold for vacant, or that was its own."""

    __slots__ = (
        "node",
        "seat",
        "records",
        "gone_us",
        "looked_us",
        "told",
        "asked_us",
        "contact",
        "lost_us",
    )

    def __init__(self, node, seat, records):
        self.node = node
        self.seat = seat
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
        return self.seat.is_learned and self.seat.is_empty and bool(self.seat.seat)

    def addresses(self):
        return [address for _, _, _, address in self.records.values()]

    def emptied(self):
        """Seats whose last occupant runs and has none: its disk is lost, and nothing more will come from it."""
        members = self.seat.directory.peers
        return {
            seat
            for seat, (_, _, name, address) in self.records.items()
            if name in members
            and members[name].is_up
            and members[name].address == address
            and not members[name].seat
        }

    def name_of(self, seat):
        return self.records[seat][2] if seat in self.records else ""

    def expect(self, contacts):
        """A first start: the contacts take the first seats."""
        for seat, contact in zip(self.seat.seats, contacts, strict=False):
            if seat != self.seat.seat:
                self.records[seat] = [1, "", "", contact]

    def note(self, message):
        """One occupant for each incarnation of a seat; answers whether it is this one."""
        seat, incarnation, start = message["seat"], message["incarnation"], message["start"]
        held = self.records.get(seat)
        if held is not None:
            if incarnation < held[0]:
                return False
            is_other = held[1] != start if held[1] else held[2] not in ("", message["name"])
            if incarnation == held[0] and is_other:
                return False
        self.records[seat] = [incarnation, start, message["name"], message["back"]]
        self.gone_us.pop(seat, None)
        return True

    def tick(self, now_us):
        if now_us - self.looked_us < LOOK_US:
            return
        self.looked_us = now_us
        for seat in self.records:
            self._is_vacant(seat, now_us)
        if self._learn():
            self.node.ports.storage.write({"occupants": dict(self.records)}, lambda is_kept: None)

    def _learn(self):
        is_new = False
        for seat, member in self.seat.directory.replica_members().items():
            held = self.records.get(seat)
            if seat == self.seat.seat or held is not None and member.seat_incarnation < held[0]:
                continue
            start = held[1] if held is not None and held[0] == member.seat_incarnation else ""
            if start and held[2] != member.name:
                continue
            record = [member.seat_incarnation, start, member.name, member.address]
            if record != held:
                self.records[seat] = record
                is_new = True
        return is_new

    def _is_vacant(self, seat, now_us):
        held = self.records.get(seat)
        if held is None:
            return True
        member = self.seat.directory.replica_members().get(seat)
        if member is not None and member.seat_incarnation >= held[0]:
            if member.has_left:
                return True
            if member.is_up:
                self.gone_us.pop(seat, None)
                return False
        return now_us - self.gone_us.setdefault(seat, now_us) >= self.node.bounds.vacant_us

    def is_taken(self, message):
        """By another than the one who asks."""
        seat = message["seat"]
        if seat == self.seat.seat:
            return True
        _, _, name, address = self.records.get(seat, [0, "", "", ""])
        return (
            name != message["name"]
            and address != message["back"]
            and not self._is_vacant(seat, self.node.now_us())
        )

    def hear_ask(self, message):
        if not self.seat.is_voting:
            return
        now_us = self.node.now_us()
        self._learn()
        table = {self.seat.seat: [self.node.name, self.node.address, False]}
        for seat in self.seat.seats:
            if seat != self.seat.seat:
                _, _, name, address = self.records.get(seat, [0, "", "", ""])
                table[seat] = [name, address, self._is_vacant(seat, now_us)]
        self.node.send_untyped(message["back"], "occupants_told", seat=self.seat.seat, table=table)

    def hear_told(self, message):
        if self.seat.seat or self.seat.successor.is_learning():
            return
        self.told[message["seat"]] = (message["table"], self.node.now_us())
        self._choose()

    def search(self, now_us):
        if now_us - self.asked_us < SEARCH_US:
            return
        self.asked_us = now_us
        for address, _ in self.seat.directory.seats().values():
            self.node.send_untyped(address, "occupants")
        self._begin_anew(now_us)

    def _begin_anew(self, now_us):
        """Every disk of the core is lost: as many spares as there are seats, and a router, know of no seat that was
        ever taken. They take the seats in the order of their names and begin as a first start does."""
        directory = self.seat.directory
        vacant_us = self.node.bounds.vacant_us
        if not self._is_core_lost(directory):
            self.lost_us = None
            return
        if self.lost_us is None:
            self.lost_us = now_us
        is_called = any(member.seat for member in directory.peers.values())
        if now_us - self.lost_us < vacant_us * (CALLED_VACANCIES if is_called else LOST_VACANCIES):
            return
        self.lost_us = None
        names = sorted(
            [self.node.name, *(member.name for member in directory.live_members("registry"))]
        )
        place = names.index(self.node.name)
        if place < len(self.seat.seats):
            self.seat.take_anew(self.seat.seats[place])

    def _is_core_lost(self, directory):
        if self.told or not self.seat.is_empty or not directory.live_members("router"):
            return False
        if any(member.seat and member.seat_incarnation for member in directory.peers.values()):
            return False
        return len(directory.live_members("registry")) + 1 >= len(self.seat.seats)

    def _choose(self):
        now_us = self.node.now_us()
        tables = [table for table, told_us in self.told.values() if now_us - told_us < FRESH_US]
        if len(tables) < len(self.seat.seats) - self.seat.majority + 1:
            return
        own = [
            seat for seat in self.seat.seats if all(self._is_own(table[seat]) for table in tables)
        ]
        vacant = [seat for seat in self.seat.seats if all(table[seat][2] for table in tables)]
        if own:
            return self._take(own[0])
        newcomers = sorted(
            [
                self.node.name,
                *(
                    member.name
                    for member in self.seat.directory.live_members("registry")
                    if not member.seat
                ),
            ]
        )
        place = newcomers.index(self.node.name)
        if place < len(vacant):
            self._take(vacant[place])

    def _is_own(self, row):
        name, address, _ = row
        return name == self.node.name or address in (self.node.address, self.contact)

    def _take(self, seat):
        self.told = {}
        self.seat.take(seat)
