from .world import Host, SimDisk

SECOND = 1_000_000


class Faults:
    """Failures that can be brought about in a SimFleet. Each begins and, when asked, closes."""

    __slots__ = ("fleet", "world", "open")

    def __init__(self, fleet):
        self.fleet = fleet
        self.world = fleet.world
        self.open = []

    def begin(self, name, *words):
        self.world.note("fault", name=name, words=[str(word) for word in words])
        close = getattr(self, name)(*words)
        if close:
            self.open.append(close)

    def close(self):
        for close in self.open:
            close()
        self.open = []
        self.world.note("closed")

    def _hosts(self):
        fleet = self.fleet
        return {
            host.name: host for host in
            [*fleet.registries.values(), *fleet.routers.values(), *fleet.runners.values(), fleet.platform]
        }

    def _inside(self):
        return list(self._hosts())

    def pick(self, hosts):
        names = sorted(hosts)
        return names[self.world.dice.randrange(len(names))]

    def kill_router(self, name=None, restart=True):
        name = name or self.pick(self.fleet.routers)
        host = self.fleet.routers[name]
        host.kill()
        return host.start if restart else None

    def kill_many_routers(self, count=None):
        names = sorted(self.fleet.routers)
        self.world.dice.shuffle(names)
        hosts = [self.fleet.routers[name] for name in names[: count or len(names) - 2]]
        for host in hosts:
            host.kill()
        return lambda: [host.start() for host in hosts]

    def freeze_router(self, name=None):
        host = self.fleet.routers[name or self.pick(self.fleet.routers)]
        host.freeze()
        return host.wake

    def jump_clock(self, name=None, jump_us=5 * SECOND):
        host = self._hosts()[name or self.pick({**self.fleet.routers, **{f"core-{seat}": 1 for seat in self.fleet.registries}})]
        host.skew_us += jump_us

    def cut_router(self, name=None):
        name = name or self.pick(self.fleet.routers)
        self.world.cut([name], self._inside())
        return self.world.heal

    def cut_router_one_way(self, name=None):
        name = name or self.pick(self.fleet.routers)
        for other in self._inside():
            if other != name:
                self.world.cuts.add((other, name))
        return self.world.heal

    def cut_router_from_core(self, name=None):
        """A router loses the core and its fellows, and still reaches runners and callers."""
        name = name or self.pick(self.fleet.routers)
        runners = [*self.fleet.runners, name]
        self.world.cut([name], [other for other in self._inside() if other not in runners])
        return self.world.heal

    def cut_zone(self, zone=None):
        """One zone loses its links to all others; callers still reach its routers."""
        zone = zone or self.pick(self.fleet.deployment.zones)
        hosts = self._hosts()
        inside = [name for name, host in hosts.items() if host.zone == zone]
        self.world.cut(inside, [name for name in hosts if name not in inside])
        return self.world.heal

    def garble_streams(self, how="skip"):
        nodes = [host.node for host in self.fleet.runners.values() if host.node]
        for node in nodes:
            node.garble = how

        def mend():
            for node in nodes:
                node.garble = None

        return mend

    def kill_core(self, seat=None):
        host = self.fleet.registries[seat or self.pick(self.fleet.registries)]
        host.kill()
        return host.start

    def freeze_core(self, seat=None):
        host = self.fleet.registries[seat or self.pick(self.fleet.registries)]
        host.freeze()
        return host.wake

    def freeze_holder(self, duty="steward"):
        for host in self.fleet.registries.values():
            if host.node and host.node.duties[duty].is_held():
                host.freeze()
                return host.wake
        return None

    def empty_core(self, seat=None):
        """A core machine is lost; another takes its seat, empty, at a new address."""
        seat = seat or self.pick(self.fleet.registries)
        host = self.fleet.registries[seat]
        host.kill()
        self.fleet.moved += 1
        address = f"10.0.1.{self.fleet.moved}:7000"
        zone = host.zone

        def come_back():
            build = self.fleet._build_registry(seat, self.fleet.live_seeds())
            new = Host(self.world, f"core-{seat}-{self.fleet.moved}", zone, address, build, SimDisk(self.world))
            self.fleet.registries[seat] = new
            new.start()

        self.world.after(SECOND, come_back)

    def exchange_awake_core(self, seat=None):
        """A frozen core machine is replaced, then wakes beside its successor."""
        seat = seat or self.pick(self.fleet.registries)
        old = self.fleet.registries[seat]
        old.freeze()
        self.fleet.moved += 1
        new = Host(
            self.world, f"core-{seat}-{self.fleet.moved}", old.zone, f"10.0.1.{self.fleet.moved}:7000",
            self.fleet._build_registry(seat), SimDisk(self.world),
        )
        self.fleet.registries[seat] = new
        self.fleet.former.append(old)
        new.start()
        return old.wake

    def lossy_core(self, seat=None):
        host = self.fleet.registries[seat or self.pick(self.fleet.registries)]
        host.disk.loses = 8
        host.kill()

        def come_back():
            host.disk.loses = 0
            host.start()

        return come_back

    def restart_core(self):
        hosts = list(self.fleet.registries.values())
        for host in hosts:
            host.kill()
        return lambda: [host.start() for host in hosts]

    def _disk(self, seat):
        return self.fleet.registries[seat or self.pick(self.fleet.registries)].disk

    def full_disk(self, seat=None):
        disk = self._disk(seat)
        disk.is_full = True
        return disk.mend

    def stall_disk(self, seat=None):
        disk = self._disk(seat)
        disk.is_stalled = True
        return disk.mend

    def slow_disk(self, seat=None):
        disk = self._disk(seat)
        disk.sync_us = 300_000
        return disk.mend

    def cut_core(self, seat=None):
        """The core is cut in two, and the edge with it."""
        seat = seat or self.pick(self.fleet.registries)
        lone = self.fleet.registries[seat].name
        names = sorted(self.fleet.routers)
        side = names[: len(names) // 3]
        rest = [name for name in self._inside() if name != lone and name not in side]
        self.world.cut([lone, *side], rest)
        return self.world.heal

    def crash_runner(self, name=None):
        host = self.fleet.runners[name or self.pick(self.fleet.runners)]
        host.kill()

        def come_back():
            host.start()
            self.fleet.list_runners()

        return come_back

    def dark_runner(self, name=None):
        name = name or self.pick(self.fleet.runners)
        self.world.cut([name], self._inside())
        return self.world.heal

    def freeze_runner(self, name=None):
        host = self.fleet.runners[name or self.pick(self.fleet.runners)]
        host.freeze()
        return host.wake

    def replace_runner(self, name=None):
        """A runner is listed as leaving, goes, and another comes under a new name."""
        name = name or self.pick(self.fleet.runners)
        old = self.fleet.runners[name]
        self.fleet.list_runners(**{name.replace("-", "_"): "leaving"})

        def go():
            old.kill()
            del self.fleet.runners[name]
            self.fleet.moved += 1
            number = 100 + self.fleet.moved
            self.fleet._add_runner(f"runner-{number}", old.zone, f"10.2.1.{number}:80").start()
            self.fleet.list_runners()

        self.world.after(5 * SECOND, go)

    def lapse_handles(self):
        nodes = [host.node for host in self.fleet.runners.values() if host.node]
        for node in nodes:
            node.hold_us = 1_000

        def mend():
            for node in nodes:
                node.hold_us = 5 * SECOND

        return mend

    def fail_hand_overs(self, times=3):
        for host in self.fleet.runners.values():
            if host.node:
                host.node.kv_fails = times

    def mute_runners(self):
        """Runners report and take work, and their streams stand still."""
        nodes = [host.node for host in self.fleet.runners.values() if host.node]
        for node in nodes:
            node.is_mute = True

        def mend():
            for node in nodes:
                node.is_mute = False

        return mend

    def leave_unlisted(self, name=None):
        """A runner leaves by its own word; the platform never says so and its reports are late."""
        node = self.fleet.runners[name or self.pick(self.fleet.runners)].node
        if node is None:
            return None
        node.is_leaving, node.report_every_us = True, 60 * SECOND

        def stay():
            node.is_leaving, node.report_every_us = False, SECOND // 2

        return stay

    def slow_seat(self, seat=None, extra_us=400_000):
        """What one seat sends comes late, and jitters."""
        name = self.fleet.registries[seat or self.pick(self.fleet.registries)].name
        for other in self._inside():
            if other != name:
                self.world.slow[(name, other)] = extra_us
        return self.world.heal

    def slow_links(self, slowness=40.0):
        nodes = [host.node for host in self.fleet.runners.values() if host.node]
        for node in nodes:
            node.link_slowness = slowness

        def mend():
            for node in nodes:
                node.link_slowness = 1.0

        return mend

    def break_conns(self, share=0.3):
        for conn in [conn for conn in list(self.world.conns) if self.world.dice.random() < share]:
            conn.break_off()

    def crowd(self, factor=6):
        rate = self.fleet.rate
        self.fleet.rate = rate * factor

        def calm():
            self.fleet.rate = rate

        return calm

    def collide_plans(self):
        """Two operators put at once, through two seats, a few times."""
        mark = max([facts["mark"] for _, kind, facts in self.world.record if kind == "acked"], default=0)
        live = [seat for seat, host in self.fleet.registries.items() if host.node and not host.is_frozen] or ["a"]
        for operator in (0, 1):
            self.fleet.put_plan(self.fleet.plan, mark, live[operator % len(live)], operator)

    def burst_plans(self, count=4):
        """One operator puts plan after plan, each as soon as the one before is answered."""
        def put(left, mark):
            if not left:
                return
            self.fleet.put_plan(self.fleet.plan, mark, None, 0, lambda status, document: put(left - 1, document["mark"]) if status == 200 else None)

        put(count, max([facts["mark"] for _, kind, facts in self.world.record if kind == "acked"], default=0))


ALL = (
    "kill_router", "kill_many_routers", "freeze_router", "jump_clock", "cut_router", "cut_router_one_way", "cut_router_from_core", "cut_zone", "kill_core", "freeze_core",
    "freeze_holder", "empty_core", "exchange_awake_core", "lossy_core", "restart_core", "full_disk", "stall_disk", "slow_disk",
    "cut_core", "crash_runner", "dark_runner", "freeze_runner", "replace_runner", "lapse_handles", "fail_hand_overs",
    "mute_runners", "leave_unlisted", "slow_seat",
    "slow_links", "garble_streams", "break_conns", "crowd", "collide_plans", "burst_plans",
)
CORE_FAULTS = {
    "kill_core", "freeze_core", "freeze_holder", "empty_core", "exchange_awake_core", "lossy_core", "restart_core", "full_disk",
    "stall_disk", "slow_disk", "slow_seat", "cut_core", "cut_zone", "jump_clock",
}
