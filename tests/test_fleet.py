"""Each deployment of the simulated world serves all its callers when nothing fails."""

from linkhaven.stage.fleet import DEPLOYMENTS, SimFleet


def test_every_deployment_serves_all_its_callers():
    for deployment in DEPLOYMENTS.values():
        fleet = SimFleet(deployment, seed=1).start()
        fleet.load()
        fleet.world.run_for(5_000_000)
        assert fleet.settle()
        summary = fleet.summary()
        assert summary["asked"] > 10
        assert summary["served"] == summary["asked"]
