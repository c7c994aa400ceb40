"""Routers that are partitioned from the core while a key is revoked.

With strict revocation a key that may have been revoked counts for `revoke_us` at most; without it,
until the router reaches the core again.
"""

import pytest
from keyed_router import KEY, SECOND, TENANTS, KeyedRouter
from test_platform import SETTINGS, NodeSettings

from linkhaven.platform import names

REVOKED = ({"name": "t-1", "api_keys": []}, TENANTS[1])
REVOKE_US = 5 * SECOND


@pytest.mark.parametrize(
    "given, revoke_us",
    [
        ({}, None),
        ({"revoke_ms": 5_000}, None),
        ({"revocation_strict": False, "revoke_ms": 5_000}, None),
        ({"revocation_strict": True, "revoke_ms": 5_000}, 5_000_000),
    ],
)
def test_only_strict_settings_bound_how_long_a_revoked_key_counts(given, revoke_us):
    place = NodeSettings({**SETTINGS, "bounds": {**SETTINGS["bounds"], **given}})
    assert place.bounds.revoke_us == revoke_us
    assert place.bounds.deny_within_us == 2_000_000


@pytest.mark.parametrize("is_strict", [False, True])
def test_a_partitioned_router_accepts_keys_as_long_as_the_deployment_permits(is_strict):
    """Strict revocation refuses keys after `revoke_us`; public routes are served in either case."""
    world = KeyedRouter(revoke_us=REVOKE_US if is_strict else None)
    world.cut_off()
    world.put(REVOKED, wait=False)
    world.run(REVOKE_US - 3 * SECOND // 2)
    assert world.ask(KEY).status is None
    world.run(SECOND)
    late = world.ask(KEY, id="r-2")
    assert late.status == (503 if is_strict else None)
    if is_strict:
        assert late.code() == "plan_stale"
        assert names.RETRY_AFTER in late.answer_headers
    assert world.ask(route="open", id="r-3").status is None
    world.core.world.heal()
    world.run(SECOND)
    assert world.ask(KEY, id="r-4").status == 401


def test_strict_revocation_doesnt_close_a_router_that_has_just_learned_of_a_newer_version():
    world = KeyedRouter(revoke_us=REVOKE_US)
    world.node.snapshot.observe_version(world.node.snapshot.version + 1)
    assert world.ask(KEY, wait_us=0).status is None
