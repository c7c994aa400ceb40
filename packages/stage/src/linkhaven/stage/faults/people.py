"""Faults that callers and operators cause."""

from .base import FaultsBase


class PeopleFaults(FaultsBase):
    """What callers and operators do."""

    __slots__ = ()

    def break_conns(self, share=0.3):
        """Break a share of all connections, at both ends."""
        for conn in [conn for conn in list(self.world.conns) if self.world.dice.random() < share]:
            conn.break_off()

    def crowd(self, factor=6):
        """Many more callers at once, nearly all of them in one zone."""
        fleet, rate, zone = self.fleet, self.fleet.rate, self.pick(self.fleet.deployment.zones)
        fleet.rate = rate * factor
        fleet.crowded[zone] = fleet.crowded.get(zone, 0) + factor * len(fleet.deployment.zones)

        def calm():
            fleet.rate = rate
            fleet.crowded.pop(zone, None)

        return calm

    def swing_mix(self):
        """Long prompts, then long answers, then the usual mix."""
        fleet, usual = self.fleet, dict(self.fleet.mix)
        longest, commonest = (
            max(usual, key=lambda kind: usual[kind][1]),
            max(usual, key=lambda kind: usual[kind][0]),
        )
        mix = fleet.mix = {**usual, longest: (0.5, usual[longest][1], 40)}
        self.world.after(
            4_000_000, lambda: mix.update({longest: usual[longest], commonest: (0.9, 200, 400)})
        )

        def calm():
            fleet.mix = usual

        return calm

    def collide_plans(self):
        """Two operators put different plans at once, through two seats."""
        mark = self.fleet.acked_mark()
        live = [
            seat for seat, host in self.fleet.registries.items() if host.node and not host.is_still
        ] or ["a"]
        for operator in (0, 1):
            self.fleet.put_plan(
                self._other_plan(operator), mark, live[operator % len(live)], operator
            )
        return self._restore

    def burst_plans(self, count=4):
        """One operator puts several different plans, each as soon as the one before is answered."""

        def put(left, mark):
            if left:
                self.fleet.put_plan(
                    self._other_plan(left),
                    mark,
                    None,
                    0,
                    lambda status, document: (
                        put(left - 1, document["mark"]) if status == 200 else None
                    ),
                )

        put(count, self.fleet.acked_mark())
        return self._restore

    def remove_group(self, name=None):
        """Put a plan without one group and its kinds, while requests of the group are queued."""
        plan = self.fleet.plan
        name = name or self.pick(plan["groups"])
        self.fleet.put_plan(
            {
                **plan,
                "groups": {
                    group: terms for group, terms in plan["groups"].items() if group != name
                },
                "kinds": {
                    kind: terms for kind, terms in plan["kinds"].items() if terms["group"] != name
                },
            },
            self.fleet.acked_mark(),
        )
        return self._restore

    def _other_plan(self, turn):
        """A plan that differs from the fleet's own in targets, credit, weights and answer
        bounds."""
        plan = self.fleet.plan
        return {
            **plan,
            "groups": {
                name: {
                    **terms,
                    "weight": 1.0 + turn,
                    "credit": {
                        **terms["credit"],
                        "tokens": int(terms["credit"]["tokens"] * (0.6 + 0.1 * turn)),
                    },
                }
                for name, terms in plan["groups"].items()
            },
            "kinds": {
                name: {
                    **terms,
                    "ttft_us": int(terms["ttft_us"] * (0.8 + 0.1 * turn)),
                    "answer_tokens": terms["answer_tokens"] + turn,
                }
                for name, terms in plan["kinds"].items()
            },
        }

    def _restore(self, mark=None, tries=40):
        """Put the fleet's own plan again until it is acknowledged."""
        fleet = self.fleet

        def on_response(status, document):
            if status == 200 or not tries:
                return
            known_mark = document["detail"]["mark"] if status == 409 else None
            self.world.after(300_000, lambda: self._restore(known_mark, tries - 1))

        fleet.put_plan(
            fleet.plan, fleet.acked_mark() if mark is None else mark, None, 1, on_response
        )
