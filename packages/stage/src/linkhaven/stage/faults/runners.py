"""Faults of runners, their links and held memory, and of the platform that lists them."""

from .base import SECOND, FaultsBase


class RunnerFaults(FaultsBase):
    """Runners, their links and held memory, and the platform that lists them."""

    __slots__ = ()

    def _nodes(self):
        return [host.node for host in self.fleet.runners.values() if host.node]

    def _reading(self):
        """The runners in the prefill phase, or all if there are none."""
        return [node for node in self._nodes() if node.phase == "prefill"] or self._nodes()

    def _set(self, nodes, **facts):
        """Set attributes on nodes; return the function that restores them."""
        before = [(node, name, getattr(node, name)) for node in nodes for name in facts]
        for node, name, _ in before:
            setattr(node, name, facts[name])
        return lambda: [setattr(node, name, value) for node, name, value in before]

    def _runner(self, name):
        return self.fleet.runners[name or self.pick(self.fleet.runners)]

    def crash_runner(self, name=None):
        """Kill a runner."""
        return self._kill_all([self._runner(name)])

    def crash_runners(self):
        """Kill nearly half of the runners at once."""
        names = self.pick_some(self.fleet.runners, len(self.fleet.runners) // 2)
        return self._kill_all([self.fleet.runners[name] for name in names])

    def dark_runner(self, name=None):
        """Cut a runner off from all machines."""
        self.world.cut([self._runner(name).name], self._inside())
        return self.world.heal

    def freeze_runner(self, name=None):
        """Freeze a runner."""
        host = self._runner(name)
        host.freeze()
        return host.wake

    def replace_runner(self, name=None, leave_s=5):
        """List a runner as leaving, stop it, and add another under a new name."""
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
        """Replace every runner, one after another."""
        self._each_in_turn(
            sorted(self.fleet.runners),
            pause_s * SECOND,
            lambda name: self.replace_runner(name, leave_s=pause_s - 1),
        )

    def rename_runner(self, name=None):
        """Replace a runner without notice by another under the same name at a new address."""
        old = self._runner(name)
        old.kill()
        self.fleet.moved += 1
        self.fleet._add_runner(old.name, old.zone, f"10.2.1.{100 + self.fleet.moved}:80").start()
        self.fleet.list_runners()

    def ghost_runners(self):
        """Kill two runners, which the platform goes on listing."""
        hosts = [self.fleet.runners[name] for name in self.pick_some(self.fleet.runners, 2)]
        for host in hosts:
            host.kill()
        return lambda: self._start_all(hosts)

    def die_before_hand_over(self):
        """A runner dies right after it read a prompt, before anybody fetched its KV memory."""
        self._set(self._reading()[:1], dies="hand-over")
        return lambda: self._start_all(self.fleet.runners.values())

    def die_in_the_transfer(self):
        """A runner dies when half of a KV transfer is sent."""
        self._set(self._reading()[:1], dies="transfer")
        return lambda: self._start_all(self.fleet.runners.values())

    def leave_unlisted(self, name=None):
        """A runner refuses work as leaving; the platform never lists it so, and its reports are
        late."""
        node = self._runner(name).node
        return self._set([node] if node else [], is_leaving=True, report_every_us=60 * SECOND)

    def lapse_handles(self):
        """Handles of KV memory expire after 1 ms."""
        return self._set(self._nodes(), hold_us=1_000)

    def lapse_in_the_transfer(self):
        """KV transfers break off halfway."""
        return self._set(self._nodes(), lapses=True)

    def fail_hand_overs(self, times=3):
        """The next KV transfers of each runner fail."""
        self._set(self._nodes(), kv_fails=times)

    def mute_runners(self):
        """Runners report and take work, but their streams stand still."""
        return self._set(self._nodes(), is_mute=True)

    def late_reports(self):
        """Runners renew their reports only every 10 s."""
        return self._set(self._nodes(), report_every_us=10 * SECOND)

    def no_reports(self):
        """Runners serve, but never answer when asked for their load."""
        return self._set(self._nodes(), is_silent=True)

    def slow_links(self, slowness=40.0):
        """KV transfers of all runners take `slowness` times as long."""
        return self._set(self._nodes(), link_slowness=slowness)

    def slow_pair(self, slowness=400.0):
        """KV transfers from one prefill runner to one decode runner take `slowness` times
        as long."""
        decoding = [node for node in self._nodes() if node.phase == "decode"]
        return self._set(
            self._reading()[:1], slow_to={node.name: slowness for node in decoding[:1]}
        )

    def garble_streams(self, how="skip"):
        """Runners answer wrongly; `how` is a value of `StandInRunner.garble`."""
        return self._set(self._nodes(), garble=how)

    def silent_platform(self):
        """Freeze the platform."""
        host = self.fleet.platform
        host.freeze()
        return host.wake

    def late_platform(self, lag_us=4 * SECOND):
        """The platform's list lags by `lag_us`."""
        return self._set([self.fleet.platform.node], lag_us=lag_us)

    def cut_platform_from_holder(self):
        """The core machine that holds the roster role loses only its link to the platform."""
        for host in self.fleet.registries.values():
            if host.node and host.node.leases["roster"].is_held():
                self.world.cut([host.name], [self.fleet.platform.name])
        return self.world.heal
