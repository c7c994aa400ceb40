"""One run of a deployment under load and faults, and its verdict."""

from linkhaven.controller import SINGLETON_ROLES
from linkhaven.runtime import Bounds

from .checkers import judge
from .faults import Faults
from .fleet import DEPLOYMENTS, SimFleet

SECOND = 1_000_000


class Scenario:
    """A deployment under load, faults at set times, then a calm period; all checkers judge the
    whole record."""

    __slots__ = ("fleet", "faults", "begun_us")

    def __init__(self, deployment, seed, **given):
        """Start a deployment by name; `given` goes to `SimFleet`."""
        self.fleet = SimFleet(DEPLOYMENTS[deployment], seed, **given).start()
        self.faults = Faults(self.fleet)
        self.begun_us = self.fleet.world.now_us
        self.fleet.world.after(250_000, self._probe)

    def _probe(self):
        """Record every 250 ms the credit rates that routers hold and the holders of each role."""
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
        """Run for `seconds` under load, at `rate` requests a second if given."""
        self.fleet.load(rate)
        self.fleet.world.run_for(int(seconds * SECOND))
        return self

    def fault(self, name, *words):
        """Begin a fault by name; `words` are its arguments."""
        self.faults.begin(name, *words)
        return self

    def close(self):
        """Close all faults that are open."""
        self.faults.close()
        return self

    def end(self, calm_s=21):
        """Run `calm_s` more under load, wait for all requests, and read the plan for the
        checkers."""
        self.load(calm_s)
        self.fleet.settle()
        self.fleet.operators[0].node.show(
            self.fleet.live_registry().address, lambda status, document: None
        )
        self.fleet.world.run_for(3 * SECOND)
        return self

    def breaches(self):
        """What the checkers found, by the name of the rule."""
        kinds = self.fleet.deployment.kinds
        return judge(
            self.fleet.world.record,
            margin=self.fleet.plan["extra"]["margin"],
            share=self.fleet.plan["extra"]["share"],
            quota_slack=Bounds().quota_slack,
            deadlines={kind: terms["deadline_us"] for kind, terms in kinds.items()},
        )

    def summary(self):
        """Outcomes of the requests sent since the fleet was ready."""
        return self.fleet.summary(self.begun_us)
