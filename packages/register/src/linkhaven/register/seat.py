REJOINING, VOTING, WAITING, FENCED = "rejoining", "voting", "waiting", "fenced"

ASK_US = 200_000
ALONE_US = 5_000_000
GRANT_US = 3_000_000


class Cell:
    __slots__ = ("promise", "accepted", "value", "chosen", "kept_us")

    def __init__(self, promise=None, accepted=None, value=None, kept_us=0):
        self.promise = promise or [0, ""]
        self.accepted = accepted
        self.value = value
        self.chosen = None
        self.kept_us = kept_us

    def as_record(self):
        return [self.promise, self.accepted, self.value, self.kept_us]


class Seat:
    """One core seat: acceptor of every key, and the rejoin that each start goes through."""

    __slots__ = (
        "node", "seat", "seats", "majority", "directory", "cells", "incarnation", "known",
        "standing", "is_empty", "is_failing", "told", "asked_us", "started_us", "notes", "votes_from_us",
        "on_change", "on_votes", "is_genesis", "is_doubted", "start", "wait_reason", "clock_us", "clocked_us", "claim_us",
    )

    def __init__(self, node, seat, seats, directory, on_change, on_votes, claim_us=3_600_000_000):
        self.node = node
        self.seat = seat
        self.seats = seats
        self.majority = len(seats) // 2 + 1
        self.directory = directory
        self.on_change = on_change
        self.on_votes = on_votes
        self.claim_us = claim_us
        now_us = node.now_us()
        held = node.ports.disk.load()
        self.cells = {
            key[5:]: Cell(*record) for key, record in held.items() if key.startswith("cell/")
        }
        self.incarnation = held.get("incarnation", 0)
        self.known = held.get("known", {})
        self.clock_us = held.get("clock_us", 0)
        self.clocked_us = now_us
        self.is_empty = not self.incarnation
        self.start = f"{node.name}/{now_us}/{node.ports.dice.getrandbits(48)}"
        self.is_failing = False
        self.is_genesis = False
        self.is_doubted = False
        self.wait_reason = None
        self.standing = REJOINING
        self.told = {}
        self.asked_us = 0
        self.started_us = now_us
        self.notes = None
        self.votes_from_us = 0
        node.hearers.update(
            prepare=self.hear_prepare, accept=self.hear_accept, chosen=self.hear_chosen,
            rejoin=self.hear_rejoin, rejoin_state=self.hear_state,
            rejoin_note=self.hear_note, rejoin_noted=self.hear_noted,
        )
        node.systems.append(self.tick)
        node.ports.log(1201, seat=seat, empty=self.is_empty)

    @property
    def is_voting(self):
        return self.standing == VOTING

    def cell(self, key):
        return self.cells.get(key) or Cell()

    def _cell_to_keep(self, key):
        cell = self.cells.get(key)
        if cell is None:
            cell = self.cells[key] = Cell(kept_us=self.run_us())
        return cell

    def _refuse(self, message, say, why, **facts):
        self.node.tell(
            message["back"], say, id=message["id"], ballot=message["ballot"], is_yes=False,
            why=why, seat=self.seat, incarnation=self.incarnation, known=self.known_of_all(), **facts,
        )

    def known_of_all(self):
        return {**self.known, self.seat: self.incarnation}

    def _may_vote(self, message, say):
        if self.standing != VOTING:
            return self._refuse(message, say, self.standing)
        if message["incarnation"] > self.incarnation:
            self._hear_newer(message["incarnation"])
            return self._refuse(message, say, self.standing)
        if message["incarnation"] < self.incarnation:
            return self._refuse(message, say, "incarnation")
        for seat, incarnation in message["known"].items():
            if seat != self.seat and incarnation < self.known.get(seat, 0):
                return self._refuse(message, say, "incarnation")
        if message["key"].startswith("duty/") and self.node.now_us() < self.votes_from_us:
            return self._refuse(message, say, "grant")
        return True

    def _hear_newer(self, incarnation):
        """A newer occupant fences this one. A core that began anew may only have forgotten: it asks the
        other seats, and rejoins above if none of them was told of a newer occupant."""
        if self.is_genesis:
            self.is_doubted = True
            self.standing = REJOINING
            self.notes = None
            self.told = {}
            self.started_us = self.node.now_us()
            return
        self._fence(incarnation)

    def _fence(self, incarnation):
        self.standing = FENCED
        self.node.ports.log(1204, seat=self.seat, incarnation=incarnation)

    def hear_prepare(self, message):
        if not self._may_vote(message, "promise"):
            return
        key, ballot = message["key"], message["ballot"]
        cell = self._cell_to_keep(key)
        if ballot <= cell.promise:
            return self._refuse(message, "promise", "ballot", highest=cell.promise)
        cell.promise = ballot
        accepted, value = cell.accepted, cell.value
        self._keep(message, "promise", key, cell, accepted=accepted, value=value)

    def hear_accept(self, message):
        if not self._may_vote(message, "accepted"):
            return
        key, ballot = message["key"], message["ballot"]
        cell = self._cell_to_keep(key)
        if ballot < cell.promise:
            return self._refuse(message, "accepted", "ballot", highest=cell.promise)
        cell.promise = ballot
        cell.accepted = ballot
        cell.value = message["value"]
        self._keep(message, "accepted", key, cell)

    def _keep(self, message, say, key, cell, **facts):
        def answer(is_kept):
            if not is_kept:
                self.is_failing = True
                self.node.ports.log(1205, key=key)
                return self._refuse(message, say, "disk")
            self.is_failing = False
            if self.standing != VOTING or message["incarnation"] != self.incarnation:
                return
            self.node.tell(
                message["back"], say, id=message["id"], ballot=message["ballot"], is_yes=True,
                seat=self.seat, incarnation=self.incarnation, known=self.known_of_all(), **facts,
            )
            self.on_change(key)

        self.node.ports.disk.write({f"cell/{key}": cell.as_record()}, answer)

    def hear_chosen(self, message):
        cell = self.cells.get(message["key"])
        if cell is None or cell.accepted != message["ballot"]:
            return
        cell.chosen = cell.accepted
        self.on_change(message["key"])

    def is_known_chosen(self, key):
        cell = self.cells.get(key)
        return cell is None or cell.accepted is None or cell.chosen == cell.accepted

    def run_us(self):
        return self.clock_us + self.node.now_us() - self.clocked_us

    def hear_rejoin(self, message):
        self.node.tell(
            message["back"], "rejoin_state", seat=self.seat, for_seat=message["seat"],
            is_voting=self.is_voting, is_empty=self.is_empty, incarnation=self.incarnation,
            known=self.known_of_all(), cells={key: cell.as_record()[:3] for key, cell in self.cells.items()},
            start=self.start, asked=message["asked"],
        )

    def hear_state(self, message):
        if self.standing not in (REJOINING, WAITING) or message["for_seat"] != self.seat or self.notes is not None:
            return
        if message["asked"] != self.start:
            return
        newest = message["known"].get(self.seat, 0)
        if self.is_doubted and newest > self.incarnation:
            return self._fence(newest)
        self.told[message["seat"]] = message
        self._weigh(self.node.now_us())

    def _weigh(self, now_us):
        others = len(self.seats) - 1
        needed = len(self.seats) - self.majority + 1
        in_standing = [state for state in self.told.values() if state["is_voting"]]
        if len(in_standing) >= needed:
            return self._adopt(self.told.values())
        if len(self.told) == others:
            is_any_empty = self.is_empty or any(state["is_empty"] for state in self.told.values())
            is_all_empty = self.is_empty and all(state["is_empty"] for state in self.told.values())
            if is_all_empty:
                self.is_genesis = True
                return self._adopt(self.told.values())
            if not is_any_empty:
                return self._adopt(self.told.values())
        if now_us - self.started_us < ALONE_US:
            return
        if not self.is_empty:
            fit = [state for state in self.told.values() if not state["is_empty"]]
            if len(fit) + 1 >= self.majority:
                return self._adopt(fit)
        if self.standing != WAITING:
            self.standing = WAITING
            self.wait_reason = "too few others in standing to rebuild from"
            self.node.ports.log(1203, seat=self.seat, heard=len(self.told))

    def restore(self):
        if self.standing != WAITING:
            return False
        self.node.ports.log(1206, seat=self.seat)
        self._adopt(self.told.values())
        return True

    def _adopt(self, states):
        highest = max(self.incarnation, self.directory.seats().get(self.seat, ("", 0))[1])
        for state in states:
            highest = max(highest, state["known"].get(self.seat, 0))
            for seat, incarnation in state["known"].items():
                if seat != self.seat:
                    self.known[seat] = max(incarnation, self.known.get(seat, 0))
            for key, (promise, accepted, value) in state["cells"].items():
                cell = self._cell_to_keep(key)
                cell.promise = max(cell.promise, promise)
                if accepted and (cell.accepted is None or accepted > cell.accepted):
                    cell.accepted, cell.value = accepted, value
        self.incarnation = highest + 1
        self.notes = {state["seat"] for state in states}
        record = {f"cell/{key}": cell.as_record() for key, cell in self.cells.items()}
        record.update(incarnation=self.incarnation, known=self.known, clock_us=self.clock_us)

        def go_on(is_kept):
            if not is_kept:
                self.is_failing = True
                self.notes = None
                self.node.ports.log(1205, key="rejoin")
                return
            self.is_empty = False
            self._tell_notes()
            self._vote_if_noted()

        self.node.ports.disk.write(record, go_on)

    def _tell_notes(self):
        for seat, (address, _) in self.directory.seats().items():
            if seat in self.notes:
                self.node.tell(
                    address, "rejoin_note", seat=self.seat, incarnation=self.incarnation,
                    genesis=self.told[seat]["start"] if self.is_genesis and seat in self.told else None,
                )

    def hear_note(self, message):
        seat, incarnation = message["seat"], message["incarnation"]
        if seat == self.seat:
            return
        known = max(self.known.get(seat, 0), incarnation)
        self.known[seat] = known

        def answer(is_kept):
            if is_kept:
                self.node.tell(message["back"], "rejoin_noted", seat=self.seat, incarnation=incarnation)
            if is_kept and message["genesis"] == self.start and self._is_waiting_empty():
                self.is_genesis = True
                self._adopt(self.told.values())

        self.node.ports.disk.write({"known": dict(self.known)}, answer)

    def _is_waiting_empty(self):
        return self.is_empty and self.notes is None and self.standing in (REJOINING, WAITING)

    def hear_noted(self, message):
        if self.notes is None or message["incarnation"] != self.incarnation:
            return
        self.notes.discard(message["seat"])
        self._vote_if_noted()

    def _vote_if_noted(self):
        if self.notes or self.standing == VOTING:
            return
        self.standing = VOTING
        self.is_doubted = False
        self.votes_from_us = self.node.now_us() + GRANT_US
        self.directory.learn_seats(self.known_of_all())
        self.node.ports.log(1202, seat=self.seat, incarnation=self.incarnation)
        self.on_votes()

    def tick(self, now_us):
        if self.standing == VOTING:
            newest = self.directory.seats()[self.seat][1]
            if newest > self.incarnation:
                return self._hear_newer(newest)
            return self._sweep_claims(now_us)
        if self.standing == FENCED or now_us - self.asked_us < ASK_US:
            return
        self.asked_us = now_us
        if self.notes is not None:
            return self._tell_notes()
        for seat, (address, _) in self.directory.seats().items():
            if seat != self.seat:
                self.node.tell(address, "rejoin", seat=self.seat, asked=self.start)
        self._weigh(now_us)

    def _sweep_claims(self, now_us):
        if now_us - self.clocked_us < 10_000_000:
            return
        self.clock_us = self.run_us()
        self.clocked_us = now_us
        record = {"clock_us": self.clock_us}
        for key, cell in list(self.cells.items()):
            if key.startswith("claim/") and self.clock_us - cell.kept_us > self.claim_us:
                del self.cells[key]
                record[f"cell/{key}"] = None
        self.node.ports.disk.write(record, lambda is_kept: None)
