"""Operators that change the plan continuously through all core replicas.

A change whose answer leaves its outcome unclear is sent again.
"""

import random
import threading

from linkhaven.api import ServiceError
from linkhaven.wire.console import call_json

from .relay import now_us

CHANGE_INTERVAL_S = 0.2
CHANGES_PER_READ = 5
PLAN_PATH = "/v1/plan"
TENANT_CHANGE_INTERVAL_S = 1.0
LOWERED_LIMIT_FACTOR = 0.3


class PlanChanger(threading.Thread):
    """Puts plan after plan and records changes, answers and reads, until told to stop.

    A change without a clear answer is sent again unchanged to the next core replica."""

    def __init__(self, addresses, deployment, mark, record, tenants=None, name="operator"):
        """`mark` is the version of the plan in force; `tenants` the tenant population, if any."""
        super().__init__(name=name, daemon=True)
        self.tenants = tenants
        self.addresses = list(addresses)
        self.deployment = deployment
        self.mark = mark
        self.record = record
        self.serial = 0
        self.address_index = 0
        self.plans = {}
        self.stop_event = threading.Event()

    def run(self):
        """Make changes until told to stop; read the plan after every fifth."""
        while not self.stop_event.wait(CHANGE_INTERVAL_S):
            self.change()
            if self.serial % CHANGES_PER_READ == 0:
                self.read(self._next_address())

    def finish(self, seconds):
        """Stop after the current change; returns whether it ended within `seconds`."""
        self.stop_event.set()
        self.join(seconds)
        return not self.is_alive()

    def _next_address(self):
        self.address_index += 1
        return self.addresses[self.address_index % len(self.addresses)]

    def _plan(self):
        """Return a plan that differs from the last one and admits the same requests."""
        groups = {
            name: {**group, "weight": 1.0 + self.serial % 10 / 100}
            for name, group in self.deployment.groups.items()
        }
        changed = {"tenants": self.tenants.document()} if self.tenants else {}
        return self.deployment.plan(groups=groups, **changed)

    def change(self):
        """Make one change, resending it until its answer is clear or the operator is stopped."""
        self.serial += 1
        put_id = f"{self.name}-{self.serial}"
        plan = self.plans[put_id] = self._plan()
        order = {"expect": self.mark, "put_id": put_id, "plan": plan}
        self.record("put", put_id=put_id, expect=self.mark, plan=plan)
        while True:
            try:
                answer = call_json(self._next_address(), "PUT", PLAN_PATH, order)
            except ServiceError as error:
                if error.code == "mark_conflict":
                    return self._conflict(put_id, error)
                if self.stop_event.wait(CHANGE_INTERVAL_S):
                    return
                continue
            self.mark = answer["mark"]
            return self.record("acked", put_id=put_id, mark=self.mark)

    def _conflict(self, put_id, error):
        self.record("unacked", put_id=put_id, status=409, code=error.code, done=error.done)
        self.mark = error.detail.get("mark", self.mark)

    def read(self, address, **facts):
        """Read and record the plan in force; returns whether the replica answered."""
        begun_us = now_us()
        try:
            shown = call_json(address, "GET", PLAN_PATH)
        except ServiceError:
            return False
        put_id = shown["put_id"]
        self.record(
            "shown",
            mark=shown["mark"],
            put_id=put_id,
            begun_us=begun_us,
            is_as_put=put_id not in self.plans or shown["plan"] == self.plans[put_id],
            **facts,
        )
        return True


class TenantChanger(PlanChanger):
    """A second operator beside the first, which revokes, adds and moves keys and changes limits.

    Most changes come singly, some directly after another; all are concurrent with the changes of
    the first operator.
    """

    def __init__(self, addresses, deployment, mark, record, tenants, seed):
        """Like `PlanChanger`; the changes are drawn from the seed."""
        super().__init__(addresses, deployment, mark, record, tenants, name="tenant-operator")
        self.rng = random.Random(seed)

    def run(self):
        """Change the tenants until told to stop."""
        while not self.stop_event.wait(
            self.rng.choice((0, CHANGE_INTERVAL_S, TENANT_CHANGE_INTERVAL_S))
        ):
            self._change_tenants()
            self.change()

    def _change_tenants(self):
        name, other = self.rng.sample(list(self.tenants.profiles), 2)
        change = self.rng.choice(
            (self._revoke_key, self._revoke_key, self._add_key, self._move_key, self._set_limit)
        )
        change(name, other)

    def _revoke_key(self, name, other):
        self.tenants.revoke_key(name)

    def _add_key(self, name, other):
        self.tenants.add_key(name)

    def _move_key(self, name, other):
        self.tenants.move_key(name, other)

    def _set_limit(self, name, other):
        profile = self.tenants.profiles[name]
        normal = (profile.requests_per_s, profile.burst_requests)
        lowered = tuple(number * LOWERED_LIMIT_FACTOR for number in normal)
        self.tenants.set_limit(name, *self.rng.choice((normal, lowered)))
