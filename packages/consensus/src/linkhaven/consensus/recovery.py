from bisect import bisect_right

REJOINING, VOTING, WAITING, FENCED, SPARE, BEGINNING, SEALED, LEARNING = (
    "rejoining",
    "voting",
    "waiting",
    "fenced",
    "spare",
    "beginning",
    "sealed",
    "learning",
)

ASK_US = 200_000
FIRST_ASK_US = 50_000
FIRST_ASKS_US = 1_500_000
STUCK_US = 1_000_000
PAGE = 500
BROWSERS_AT_MOST = 4


class Recovery:
    """What each start of a seat goes through before it votes: it hears how the others stand, raises its incarnation,
    has them record that, and only then reads what they hold, page by page; so nothing that an older occupant of
    this seat took part in can be chosen behind its back.

    A disk that was read is whole unless it lost what it had synced. So a seat with a disk needs the others only to
    make good such a loss: a majority with disks goes on once the rest has answered that it has none, and where the
    rest is silent, after `bounds.alone_us`."""

    __slots__ = (
        "node",
        "replica",
        "told",
        "notes",
        "cursors",
        "asked_us",
        "started_us",
        "start",
        "is_genesis",
        "is_doubted",
        "moved_us",
        "wait_reason",
        "browsers",
        "asked_back",
        "has_met_no_vote",
        "is_anew",
        "recorded",
        "left",
        "moved_wait_us",
    )

    def __init__(self, node, replica):
        self.node = node
        self.replica = replica
        now_us = node.now_us()
        self.start = f"{node.name}/{now_us}/{node.ports.random.getrandbits(48)}"
        self.told = {}
        self.notes = None
        self.cursors = {}
        self.asked_us = 0
        self.started_us = self.moved_us = now_us
        self.is_genesis = False
        self.is_doubted = False
        self.wait_reason = None
        self.browsers = {}
        self.asked_back = None
        self.has_met_no_vote = self.is_anew = False
        self.recorded = None
        self.left = {}
        self.moved_wait_us = 0
        node.map_handlers.update(
            rejoin=self.hear_rejoin,
            rejoin_state=self.hear_state,
            rejoin_note=self.hear_note,
            rejoin_noted=self.hear_noted,
            rejoin_browse=self.hear_browse,
            rejoin_page=self.hear_page,
        )

    def begin_anew(self, is_doubted=False):
        self.is_doubted = is_doubted or self.is_doubted
        self.replica.state = REJOINING
        self.notes = self.recorded = None
        self.cursors = {}
        self.left = {}
        self.told = {}
        self.started_us = self.moved_us = self.node.now_us()

    def begin_moved(self, wait_us):
        """The state came whole from the sealed occupant, whose seal is one record of a majority: the others' records
        make it up, and nothing is read. When they don't come, it goes on as a restart with its disk does."""
        self.begin_anew()
        self.has_met_no_vote = False
        self.notes = set(self.replica.replica_ids) - {self.replica.replica_id}
        self.recorded = set()
        self.moved_wait_us = wait_us
        self._tell_notes()

    def _vote_if_recorded(self):
        if self.recorded is None or len(self.recorded) < self.replica.majority - 1:
            return
        self.recorded = None
        self.cursors = {}
        self.replica.begin_votes(wait_us=self.moved_wait_us)

    def forget(self):
        self.notes = self.recorded = None
        self.cursors = {}
        self.told = {}
        self.browsers = {}
        self.is_genesis = self.is_doubted = self.is_anew = False

    def _try_anew(self):
        """Not noted, or not read, for too long: another occupant may have been first."""
        if self.replica.is_learned and self.replica.is_empty:
            return self.replica.retire()
        self.begin_anew()

    def _known_with(self, asking):
        """An occupant that began at a first start was never noted: only the records say its incarnation."""
        known = self.replica.all_incarnations()
        held = self.replica.occupants.records.get(asking)
        if held is not None and asking != self.replica.replica_id:
            known[asking] = max(known.get(asking, 0), held[0])
        return known

    def hear_rejoin(self, message):
        replica = self.replica
        if not replica.replica_id:
            return
        self.node.send_untyped(
            message["back"],
            "rejoin_state",
            seat=replica.replica_id,
            for_seat=message["seat"],
            is_voting=replica.is_voting,
            is_empty=replica.is_empty or replica.sealed is not None,
            incarnation=replica.incarnation,
            known=self._known_with(message["seat"]),
            start=self.start,
            asked=message["asked"],
            occupant=replica.occupants.name_of(message["seat"]),
            is_taken=replica.is_voting and replica.occupants.is_taken(message),
        )
        self._ask_back(message)

    def _ask_back(self, message):
        """Who asks runs: its own standing needn't wait for the next round of asks."""
        if (
            self.replica.state not in (REJOINING, WAITING)
            or self.notes is not None
            or message["seat"] == self.replica.replica_id
        ):
            return
        told = self.told.get(message["seat"])
        if (
            told is not None
            and told["start"] == message["asked"]
            or self.asked_back == message["asked"]
        ):
            return
        self.asked_back = message["asked"]
        self._ask(message["back"])

    def _ask(self, address):
        self.node.send_untyped(address, "rejoin", seat=self.replica.replica_id, asked=self.start)

    def hear_state(self, message):
        replica = self.replica
        if (
            replica.state not in (REJOINING, WAITING)
            or message["for_seat"] != replica.replica_id
            or self.notes is not None
        ):
            return
        if message["asked"] != self.start:
            return
        newest = message["known"].get(replica.replica_id, 0)
        if self.is_doubted and newest > replica.incarnation:
            return replica.fence(newest)
        if replica.is_learned and self._is_anothers(message, newest):
            return replica.fence(newest)
        self.told[message["seat"]] = message
        self._weigh(self.node.now_us())

    def _is_anothers(self, message, newest):
        if self.replica.occupants.is_trying:
            return message["is_taken"]
        return newest >= self.replica.incarnation and message["occupant"] not in (
            "",
            self.node.name,
        )

    def _weigh(self, now_us):
        replica = self.replica
        others = len(replica.replica_ids) - 1
        needed = len(replica.replica_ids) - replica.majority + 1
        in_standing = [state for state in self.told.values() if state["is_voting"]]
        if len(in_standing) >= needed:
            return self._adopt(self.told.values())
        have_all_answered = (
            len({*self.told, *replica.occupants.emptied()} - {replica.replica_id}) == others
        )
        if len(self.told) == others:
            is_any_empty = replica.is_empty or any(
                state["is_empty"] for state in self.told.values()
            )
            is_all_empty = replica.is_empty and all(
                state["is_empty"] for state in self.told.values()
            )
            if is_all_empty and (self.is_anew or not replica.is_learned):
                self.is_genesis = True
                return self._adopt(self.told.values())
            if not is_any_empty:
                return self._adopt(self.told.values())
        is_alone = now_us - self.started_us >= self.node.bounds.alone_us
        if not replica.is_empty and (have_all_answered or is_alone):
            fit = [state for state in self.told.values() if not state["is_empty"]]
            if len(fit) + 1 >= replica.majority:
                return self._adopt(fit)
        if is_alone and replica.state != WAITING:
            replica.state = WAITING
            self.wait_reason = "too few others in standing to rebuild from"
            self.node.ports.log(1203, seat=replica.replica_id, heard=len(self.told))

    def restore(self):
        if self.replica.state != WAITING:
            return False
        self.node.ports.log(1206, seat=self.replica.replica_id)
        self._adopt(self.told.values())
        return True

    def _adopt(self, states):
        replica = self.replica
        self.has_met_no_vote = bool(states) and not any(state["is_voting"] for state in states)
        highest = max(
            replica.incarnation, replica.directory.replicas().get(replica.replica_id, ("", 0))[1]
        )
        for state in states:
            highest = max(highest, state["known"].get(replica.replica_id, 0))
            replica.learn_incarnations(state["known"])
        replica.incarnation = highest + 1
        self.notes = {state["seat"] for state in states}
        self.cursors = {}
        self.moved_us = self.node.now_us()
        record = {
            "seat": replica.replica_id,
            "incarnation": replica.incarnation,
            "known": replica.known_incarnations,
            "clock_us": replica.clock_us,
            "is_partial": replica.is_empty,
        }

        def go_on(is_kept):
            if not is_kept:
                return self._hear_full_disk()
            if self.notes is None:
                return
            self._tell_notes()
            self._end_if_read()

        self.node.ports.storage.write(record, go_on)

    def _hear_full_disk(self):
        self.replica.is_failing = True
        self.notes = None
        self.node.ports.log(1205, key="rejoin")

    def _tell_notes(self):
        for name, (address, _) in self.replica.directory.replicas().items():
            if name in self.cursors:
                if self.cursors[name] is not None:
                    self._browse(name, address)
            elif name in (self.notes or ()):
                self.node.send_untyped(
                    address,
                    "rejoin_note",
                    seat=self.replica.replica_id,
                    incarnation=self.replica.incarnation,
                    start=self.start,
                    genesis=self.told[name]["start"]
                    if self.is_genesis and name in self.told
                    else None,
                )

    def hear_note(self, message):
        replica, name, incarnation = self.replica, message["seat"], message["incarnation"]
        if (
            name == replica.replica_id
            or not replica.replica_id
            or not replica.occupants.note(message)
        ):
            return
        replica.learn_incarnations({name: incarnation})

        def answer(is_kept):
            if is_kept:
                self.node.send_untyped(
                    message["back"],
                    "rejoin_noted",
                    seat=replica.replica_id,
                    incarnation=incarnation,
                )
            if is_kept and message["genesis"] == self.start and self._is_waiting_empty():
                self.is_genesis = True
                self._adopt(self.told.values())

        self.node.ports.storage.write(
            {
                "known": dict(replica.known_incarnations),
                "occupants": dict(replica.occupants.records),
            },
            answer,
        )

    def _is_waiting_empty(self):
        return (
            self.replica.is_empty
            and self.notes is None
            and self.replica.state in (REJOINING, WAITING)
        )

    def hear_noted(self, message):
        name = message["seat"]
        if (
            self.notes is None
            or message["incarnation"] != self.replica.incarnation
            or name in self.cursors
            or name not in self.notes
        ):
            return
        self.moved_us = self.node.now_us()
        if self.recorded is not None:
            self.cursors[name] = None
            self.recorded.add(name)
            return self._vote_if_recorded()
        self.cursors[name] = ""
        self._browse(name, message["back"])

    def _browse(self, name, address):
        self.node.send_untyped(
            address,
            "rejoin_browse",
            seat=self.replica.replica_id,
            asked=self.start,
            after=self.cursors[name],
            since=0,
        )

    def hear_browse(self, message):
        """One page of what this seat holds, in the order of its keys."""
        replica, asked, after, since = (
            self.replica,
            message["asked"],
            message["after"],
            message["since"],
        )
        replica.leaving.note_browse(asked)
        if asked not in self.browsers or not after:
            while len(self.browsers) >= BROWSERS_AT_MOST:
                del self.browsers[next(iter(self.browsers))]
            keys = sorted(
                key
                for key, register_state in replica.states.items()
                if register_state.version >= since
            )
            self.browsers[asked] = (keys, replica.change_count)
        keys, version = self.browsers[asked]
        place = bisect_right(keys, after)
        page = keys[place : place + PAGE]
        self.node.send_untyped(
            message["back"],
            "rejoin_page",
            seat=replica.replica_id,
            start=self.start,
            asked=asked,
            after=after,
            since=since,
            version=version,
            left=len(keys) - place - len(page),
            last=page[-1] if len(keys) > place + PAGE else None,
            are_claims_open=replica.are_claims_open,
            cells={
                key: replica.states[key].as_record()[:3] for key in page if key in replica.states
            },
        )

    def hear_page(self, message):
        name = message["seat"]
        if self.replica.successor.expects(message):
            return self.replica.successor.on_page(message)
        if (
            self.notes is None
            or message["asked"] != self.start
            or self.cursors.get(name) != message["after"]
        ):
            return
        if name in self.told and self.told[name]["start"] != message["start"]:
            return self.begin_anew()
        self.cursors[name] = None
        self.left[name] = message["left"]
        self.moved_us = self.node.now_us()
        changed = self.replica.merge(message["cells"])
        notes = self.notes

        def go_on(is_kept):
            if self.notes is not notes:
                return
            if not is_kept:
                return self._hear_full_disk()
            if message["last"] is not None:
                self.cursors[name] = message["last"]
                return self._browse(name, message["back"])
            self.notes.discard(name)
            self.replica.are_claims_open = (
                self.replica.are_claims_open and message["are_claims_open"]
            )
            self._end_if_read()

        self.node.ports.storage.write(changed, go_on)

    def _end_if_read(self):
        if self.notes is None or self.notes or self.replica.state == VOTING:
            return
        replica = self.replica
        replica.are_claims_open = replica.are_claims_open and not self.is_genesis

        def vote(is_kept):
            if not is_kept:
                return self._hear_full_disk()
            if self.notes is None:
                return
            self.is_doubted = False
            self.cursors = {}
            replica.begin_votes()

        self.node.ports.storage.write(
            {"is_partial": None, "sealed": None, "are_claims_open": replica.are_claims_open}, vote
        )

    def tick(self, now_us):
        is_first = now_us - self.started_us < FIRST_ASKS_US
        if now_us - self.asked_us < (FIRST_ASK_US if is_first else ASK_US):
            return
        self.asked_us = now_us
        if now_us - self.moved_us > STUCK_US and (
            self.notes is not None or self.replica.occupants.is_trying
        ):
            return self._try_anew()
        if self.notes is not None:
            return self._tell_notes()
        for name, (address, _) in self.replica.directory.replicas().items():
            if name != self.replica.replica_id:
                self._ask(address)
        self._weigh(now_us)
