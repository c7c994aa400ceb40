import ast
import json
import pathlib
import re

import pytest

from linkhaven.api import CATALOGUE, EVENTS, ServiceError, check_document, read_schema
from linkhaven.configuration import list_document_faults
from linkhaven.simulator.question import read_question
from linkhaven.stage.fleet import DEPLOYMENTS
from linkhaven.wire import check_settings, read_settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = sorted([*ROOT.glob("packages/*/src/**/*.py"), *ROOT.glob("platform/linkhaven/**/*.py")])


def read_rows(page):
    rows = [
        line.strip("|").split("|")
        for line in (ROOT / "docs" / page).read_text().splitlines()
        if line.startswith("|")
    ]
    return [tuple(cell.strip() for cell in row) for row in rows[2:]]


def constants_of(tree):
    """The literals that a module binds to names at its top, also several in one line."""
    found = {}
    for node in tree.body:
        if not isinstance(node, ast.Assign):
            continue
        targets, values = node.targets[0], node.value
        pairs = (
            zip(targets.elts, values.elts, strict=True)
            if isinstance(targets, ast.Tuple) and isinstance(values, ast.Tuple)
            else [(targets, values)]
        )
        for target, value in pairs:
            if isinstance(target, ast.Name) and isinstance(value, ast.Constant):
                found[target.id] = value.value
    return found


def first_words(name):
    """The first argument of every call of that name, over all sources, as literal or constant."""
    found = set()
    for path in SOURCES:
        tree = ast.parse(path.read_text())
        constants = constants_of(tree)
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call):
                continue
            called = getattr(node.func, "id", getattr(node.func, "attr", None))
            if called != name or not node.args:
                continue
            for leaf in ast.walk(node.args[0]):
                if isinstance(leaf, ast.Constant):
                    found.add(leaf.value)
                elif isinstance(leaf, ast.Name) and leaf.id in constants:
                    found.add(constants[leaf.id])
    return found


def test_the_events_page_is_the_catalogue_and_the_code_uses_all_of_it():
    assert read_rows("events.md") == [(str(number), *EVENTS[number]) for number in sorted(EVENTS)]
    told = first_words("log") | first_words("event_line")
    assert {word for word in told if isinstance(word, int)} == set(EVENTS)


def test_the_errors_page_is_the_catalogue_and_the_code_uses_all_of_it():
    assert read_rows("troubles.md") == [
        (code, str(status), done, remedy) for code, (status, done, remedy) in CATALOGUE.items()
    ]
    told = {
        word
        for name in ("ServiceError", "_fence")
        for word in first_words(name)
        if isinstance(word, str)
    }
    assert set(CATALOGUE) - told == set()


def test_only_what_was_not_done_is_a_refusal():
    for code, (status, done, remedy) in CATALOGUE.items():
        assert done in ("no", "unknown"), code
        assert 400 <= status < 600 and remedy.endswith("."), code


def test_every_path_a_node_serves_is_in_the_schema_file():
    served = set()
    for path in SOURCES:
        for method, place in re.findall(
            r'\("(GET|PUT|POST|PATCH|DELETE)", "(/v1/[a-z/]*)"\)', path.read_text()
        ):
            named = (
                "{request}"
                if place.endswith("explain/")
                else "{name}"
                if place.endswith("/")
                else ""
            )
            served.add((method.lower(), place + named))
    described = {
        (method, place) for place, calls in read_schema()["paths"].items() for method in calls
    }
    assert served - described == {("put", "/v1/runners")}
    assert described - served == set()


def test_the_shipped_plans_fit_and_a_bad_one_is_told_all_its_faults():
    for deployment in DEPLOYMENTS.values():
        assert list_document_faults(deployment.plan()) == []
    bad = {
        "groups": {"a": {"credit": {"tokens": -1, "period_us": 1}}},
        "fleet": {"routers": 1},
        "zzz": 1,
        "kinds": {
            "k": {
                "group": "b",
                "ttft_us": 9,
                "tpot_us": 1,
                "deadline_us": 5,
                "repeatable": False,
                "resumable": True,
            }
        },
    }
    assert {place["place"] for place in list_document_faults(bad)} == {
        "groups/a/credit/tokens",
        "zzz",
        "kinds/k/group",
        "kinds/k/ttft_us",
        "kinds/k/resumable",
    }


@pytest.mark.parametrize(
    "name, document, place",
    [
        ("Ask", {"kind": "k"}, "."),
        ("Ask", {"kind": "k", "prompt": ""}, "prompt"),
        ("Ask", {"kind": "k", "prompt": "x", "answer_tokens": 0}, "answer_tokens"),
        ("PlanPut", {"expect": -1, "put_id": "x", "plan": {}}, "expect"),
    ],
)
def test_a_document_that_does_not_fit_the_schema_is_told_where(name, document, place):
    with pytest.raises(ServiceError) as caught:
        check_document(name, document)
    assert caught.value.code == "bad_request"
    assert place in [found["place"] for found in caught.value.detail["places"]]


SETTINGS = {
    "name": "edge-1",
    "zone": "z",
    "lines": "10.0.0.1:7000",
    "http": "10.0.0.1:80",
    "seeds": ["10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000"],
}


@pytest.mark.parametrize(
    "changed, place",
    [
        ({"lines": "localhost:7000"}, "lines"),
        ({"http": "10.0.0.1:0"}, "http"),
        ({"seeds": ["10.0.0.2:7000"]}, "seeds"),
        ({"seeds": ["10.0.0.2:7000", "x", "10.0.0.4:7000"]}, "seeds/1"),
        ({"log": {"level": "loud"}}, "log/level"),
        ({"requests": 0}, "requests"),
        ({"colour": "red"}, "colour"),
        ({"http": "10.0.0.1:7000"}, "http"),
    ],
)
def test_a_bad_setting_is_told_with_its_key(changed, place):
    assert check_settings("router", SETTINGS)["requests"] == 2_000
    with pytest.raises(ServiceError) as caught:
        check_settings("router", {**SETTINGS, **changed})
    assert caught.value.code == "settings_invalid"
    assert place in [found["place"] for found in caught.value.detail["places"]]


def test_the_example_files_fit_what_they_are_for():
    for deployment in DEPLOYMENTS:
        assert (
            list_document_faults(
                json.loads((ROOT / f"examples/plan-{deployment}.json").read_text())
            )
            == []
        )
        assert read_question(read_settings(ROOT / f"examples/what-if-{deployment}.json"))["what_if"]
    for path in sorted((ROOT / "examples/loopback").glob("*.yaml")):
        document = read_settings(path)
        assert check_settings(
            "registry" if "seat" in document else "router",
            {**document, **({"data": "."} if "seat" in document else {})},
        )
