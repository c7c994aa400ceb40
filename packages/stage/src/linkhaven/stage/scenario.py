from linkhaven.controller import SINGLETON_ROLES
from linkhaven.runtime import Bounds

from .checkers import judge
from .faults import Faults
from .fleet import DEPLOYMENTS, SimFleet

SECOND = 1_000_000


class Scenario:
    """A deployment under load, faults at set times, then calm; judged on its whole record."""

    __slots__ = ("fleet", "faults", "begun_us")

    def __init__(self, deployment, seed, **given):
        self.fleet = SimFleet(DEPLOYMENTS[deployment], seed, **given).start()
        self.faults = Faults(self.fleet)
        self.begun_us = self.fleet.world.now_us
        self.fleet.world.after(250_000, self._probe)

    def _probe(self):
        fleet = self.fleet
        groups = {}
        for name, terms in fleet.plan["groups"].items():
            allowance = terms["credit"]["tokens"] * SECOND / terms["credit"]["period_us"]
            held = sum(
                host.node.admission.accounts[name].bucket.rate
                for host in fleet.routers.values()
                if host.node and name in host.node.admission.accounts and not host.is_frozen
            )
            groups[name] = (held, allowance)
        fleet.world.note("shares", groups=groups)
        nodes = [host.node for host in [*fleet.registries.values(), *fleet.former] if host.node]
        fleet.world.note(
            "held",
            duties={
                role: [node.name for node in nodes if node.leases[role].is_held()]
                for role in SINGLETON_ROLES
            },
        )
        fleet.world.after(250_000, self._probe)

    def load(self, seconds, rate=None):
        self.fleet.load(rate)
        self.fleet.world.run_for(int(seconds * SECOND))
        return self

    def fault(self, name, *words):
        self.faults.begin(name, *words)
        return self

    def close(self):
        self.faults.close()
        return self

    def end(self, calm_s=21):
        self.load(calm_s)
        self.fleet.settle()
        self.fleet.operators[0].node.show(
            self.fleet.live_registry().address, lambda status, document: None
        )
        self.fleet.world.run_for(3 * SECOND)
        return self

    def breaches(self):
        kinds = self.fleet.deployment.kinds
        return judge(
            self.fleet.world.record,
            margin=self.fleet.plan["extra"]["margin"],
            share=self.fleet.plan["extra"]["share"],
            quota_slack=Bounds().quota_slack,
            deadlines={kind: terms["deadline_us"] for kind, terms in kinds.items()},
        )

    def summary(self):
        return self.fleet.summary(self.begun_us)
