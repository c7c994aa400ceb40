from linkhaven.stage.fleet import DEPLOYMENTS, SimFleet


def test_both_deployments_serve_their_callers_from_core_to_runner():
    for deployment in DEPLOYMENTS.values():
        fleet = SimFleet(deployment, seed=1).start()
        fleet.load()
        fleet.world.run_for(5_000_000)
        assert fleet.settle()
        seen = fleet.summary()
        assert seen["asked"] > 10
        assert seen["served"] == seen["asked"]
