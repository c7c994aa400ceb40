from .base import SECOND, FaultsBase


class RunnerFaults(FaultsBase):
    """Runners, their links and held memory, and the platform that lists them."""

    __slots__ = ()

    def _nodes(self):
        return [host.node for host in self.fleet.runners.values() if host.node]

    def _reading(self):
        return [node for node in self._nodes() if node.phase == "prefill"] or self._nodes()

    def _set(self, nodes, **facts):
        """Sets what every runner given has, and gives back what it was."""
        before = [(node, name, getattr(node, name)) for node in nodes for name in facts]
        for node, name, _ in before:
            setattr(node, name, facts[name])
        return lambda: [setattr(node, name, value) for node, name, value in before]

    def _runner(self, name):
        return self.fleet.runners[name or self.pick(self.fleet.runners)]

    def crash_runner(self, name=None):
        return self._kill_all([self._runner(name)])

    def crash_runners(self):
        """Nearly half of them at once."""
        names = self.pick_some(self.fleet.runners, len(self.fleet.runners) // 2)
        return self._kill_all([self.fleet.runners[name] for name in names])

    def dark_runner(self, name=None):
        self.world.cut([self._runner(name).name], self._inside())
        return self.world.heal

    def freeze_runner(self, name=None):
        host = self._runner(name)
        host.freeze()
        return host.wake

    def replace_runner(self, name=None, leave_s=5):
        """A runner is listed as leaving, goes, and another comes under a new name."""
        old = self._runner(name)
        phase = old.node.phase if old.node else "decode"
        self.fleet.list_runners(**{old.name.replace("-", "_"): "leaving"})

        def go():
            if self.fleet.runners.get(old.name) is not old:
                return
            old.kill()
            del self.fleet.runners[old.name]
            self.fleet.moved += 1
            number = 100 + self.fleet.moved
            self.fleet.phases[f"runner-{number}"] = phase
            self.fleet._add_runner(f"runner-{number}", old.zone, f"10.2.1.{number}:80").start()
            self.fleet.list_runners()

        self.world.after(leave_s * SECOND, go)

    def roll_runners(self, pause_s=4):
        """Every runner replaced, one after another."""
        self._each_in_turn(
            sorted(self.fleet.runners),
            pause_s * SECOND,
            lambda name: self.replace_runner(name, leave_s=pause_s - 1),
        )

    def rename_runner(self, name=None):
        """A runner is gone from one moment to the next, and another stands under its name at a new address."""
        old = self._runner(name)
        old.kill()
        self.fleet.moved += 1
        self.fleet._add_runner(old.name, old.zone, f"10.2.1.{100 + self.fleet.moved}:80").start()
        self.fleet.list_runners()

    def ghost_runners(self):
        """Two runners are gone and the platform goes on listing them."""
        hosts = [self.fleet.runners[name] for name in self.pick_some(self.fleet.runners, 2)]
        for host in hosts:
            host.kill()
        return lambda: self._start_all(hosts)

    def die_before_hand_over(self):
        """Runners die right after they read, before anybody fetched what they hold."""
        self._set(self._reading()[:1], dies="hand-over")
        return lambda: self._start_all(self.fleet.runners.values())

    def die_in_the_transfer(self):
        """Runners die with half of the memory sent."""
        self._set(self._reading()[:1], dies="transfer")
        return lambda: self._start_all(self.fleet.runners.values())

    def leave_unlisted(self, name=None):
        """A runner leaves by its own word; the platform never says so and its reports are late."""
        node = self._runner(name).node
        return self._set([node] if node else [], is_leaving=True, report_every_us=60 * SECOND)

    def lapse_handles(self):
        return self._set(self._nodes(), hold_us=1_000)

    def lapse_in_the_transfer(self):
        return self._set(self._nodes(), lapses=True)

    def fail_hand_overs(self, times=3):
        self._set(self._nodes(), kv_fails=times)

    def mute_runners(self):
        """Runners report and take work, and their streams stand still."""
        return self._set(self._nodes(), is_mute=True)

    def late_reports(self):
        return self._set(self._nodes(), report_every_us=10 * SECOND)

    def no_reports(self):
        """Runners serve, and never answer when asked for their load."""
        return self._set(self._nodes(), is_silent=True)

    def slow_links(self, slowness=40.0):
        return self._set(self._nodes(), link_slowness=slowness)

    def slow_pair(self, slowness=400.0):
        """The link from one reading runner to one decoding runner."""
        decoding = [node for node in self._nodes() if node.phase == "decode"]
        return self._set(
            self._reading()[:1], slow_to={node.name: slowness for node in decoding[:1]}
        )

    def garble_streams(self, how="skip"):
        return self._set(self._nodes(), garble=how)

    def silent_platform(self):
        host = self.fleet.platform
        host.freeze()
        return host.wake

    def late_platform(self, lag_us=4 * SECOND):
        return self._set([self.fleet.platform.node], lag_us=lag_us)

    def cut_platform_from_holder(self):
        """The seat that keeps the list of runners loses the platform alone."""
        for host in self.fleet.registries.values():
            if host.node and host.node.leases["roster"].is_held():
                self.world.cut([host.name], [self.fleet.platform.name])
        return self.world.heal
