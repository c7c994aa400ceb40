"""The soak's invalid plans are invalid, each for the one thing that was changed."""

import json

import pytest

from linkhaven.api import ServiceError
from linkhaven.configuration import list_document_faults
from linkhaven.runtime import read_json
from linkhaven.stage.fleet import ARCHIVE, LICENSING
from linkhaven.stage.soak.invalid_changes import CHANGES, InvalidChanger, invalid_plan

DEPLOYMENTS = [LICENSING, ARCHIVE]


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda deployment: deployment.name)
@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__.strip("_"))
def test_each_change_alone_makes_a_valid_plan_invalid(change, deployment):
    valid = deployment.plan()
    sent = json.dumps(invalid_plan(valid, change))
    assert list_document_faults(read_json(sent)) != []
    assert list_document_faults(valid) == [] and deployment.plan() == valid


@pytest.mark.parametrize(
    "answer, kind", [({"mark": 8}, "invalid_acked"), (None, "invalid_rejected")]
)
def test_an_acknowledged_invalid_plan_is_recorded_as_such(monkeypatch, answer, kind):
    def call_json(address, method, path, document):
        assert document["expect"] == 7
        if answer is None:
            raise ServiceError("plan_invalid", places=[])
        return answer

    class Changer:
        mark = 7

        def _plan(self):
            return LICENSING.plan()

    monkeypatch.setattr("linkhaven.stage.soak.invalid_changes.call_json", call_json)
    record = []
    changer = InvalidChanger(
        ["127.0.0.1:1"],
        LICENSING,
        lambda kind, **facts: record.append((kind, facts)),
        Changer(),
        1,
    )
    changer.change()
    ((recorded_kind, facts),) = record
    assert recorded_kind == kind and facts["how"] in {one.__name__.strip("_") for one in CHANGES}
