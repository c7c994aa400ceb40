"""The typed configuration: its field names and defaults, and its values from a document."""

import json

import msgspec
import pytest
import trafaret as t

from linkhaven.api import ServiceError
from linkhaven.configuration import decode_configuration, document, record_to_dict, schema

KIND = {"group": "g", "ttft_us": 2, "tpot_us": 1, "deadline_us": 3}
DOCUMENT = {"groups": {"g": {}}, "kinds": {"k": KIND}, "pools": {"p": {}}}

DEFAULTS = {
    "groups": {
        "g": {
            "credit": None,
            "weight": 1.0,
            "queue": {"requests": 128, "tokens": 1_000_000, "wait_us": 10_000_000},
        }
    },
    "kinds": {
        "k": {
            **KIND,
            "repeatable": True,
            "resumable": False,
            "key_required": False,
            "prompt_tokens": 16_000,
            "answer_tokens": 2_000,
            "door": None,
            "pools": [],
            "attempts": 0,
            "gap_us": None,
            "priority": 0,
            "public": False,
        }
    },
    "taichi": {
        "prefill_tokens_per_s": 8_000,
        "decode_read_share": 0.5,
        "read_base_us": 15_000,
        "kv_bytes_per_token": 100_000,
        "link_bytes_per_s": 5_000_000_000,
        "decode_tokens_per_s": 900,
        "watermark": 0.95,
        "approach": 0.96,
        "moves": False,
        "search": True,
        "dwell_us": 4_000_000,
    },
    "extra": {"share": 0.2, "margin": 10},
    "claims": {"keep_us": 86_400_000_000, "most": 200_000},
    "fleet": {"routers": 1},
    "pools": {
        "p": {
            "conns": 256,
            "health": "/health",
            "slots": 0,
            "kv_tokens": 0,
            "kv_bytes_per_token": None,
            "link_bytes_per_s": None,
            "hold_us": None,
            "switch_us": None,
        }
    },
    "limits": {"head_bytes": None, "body_bytes": None, "head_us": None, "idle_us": None},
    "floor": 0.02,
    "tenants": None,
}
"""The configuration of a minimal document, with the defaults of commit 6c079fa; None for fields
that it didn't have."""

SCHEMAS = [
    (schema.ALLOWANCE, document.Allowance),
    (schema.GROUP, document.Group),
    (schema.KIND, document.RequestKind),
    (schema.TENANT, document.Tenant),
    (schema.POOL, document.PoolSettings),
    (schema.HTTP_LIMITS, document.HttpLimits),
    (schema.PLACEMENT, document.PlacementSettings),
    (schema.DOCUMENT, document.Configuration),
]


def inner_schema(outer, name):
    (inner,) = [key.trafaret for key in outer.keys if key.name == name]
    return inner


INNER_SCHEMAS = [
    (inner_schema(schema.GROUP, "queue"), document.QueueBounds),
    (inner_schema(schema.KIND, "door"), document.RouteMatch),
    (inner_schema(schema.KIND, "pools").trafaret, document.PoolWeight),
    (inner_schema(schema.DOCUMENT, "extra"), document.RetryBudgetSettings),
    (inner_schema(schema.DOCUMENT, "claims"), document.ClaimSettings),
    (inner_schema(schema.DOCUMENT, "fleet"), document.FleetSettings),
]


@pytest.mark.parametrize("form, record", SCHEMAS + INNER_SCHEMAS)
def test_schema_and_record_have_the_same_fields_in_the_same_order(form, record):
    assert isinstance(form, t.Dict)
    fields = msgspec.structs.fields(record)
    assert [key.name for key in form.keys] == [field.encode_name for field in fields]
    assert [not key.optional for key in form.keys] == [field.required for field in fields]


def test_omitted_fields_have_their_defaults():
    written = record_to_dict(decode_configuration(DOCUMENT))
    assert json.loads(json.dumps(written)) == DEFAULTS


def test_records_are_frozen():
    configuration = decode_configuration(DOCUMENT)
    for record in (configuration, configuration.groups["g"], configuration.kinds["k"]):
        with pytest.raises(AttributeError):
            setattr(record, record.__struct_fields__[0], None)


@pytest.mark.parametrize("weight, text", [(2, "2"), (2.0, "2.0"), (1.50, "1.5")])
def test_a_number_is_shown_as_it_was_sent(weight, text):
    configuration = decode_configuration({**DOCUMENT, "groups": {"g": {"weight": weight}}})
    assert repr(record_to_dict(configuration.groups["g"])["weight"]) == text


def test_decoding_leaves_the_document_as_it_was_and_keeps_its_order():
    names = ["z", "a", "m"]
    kinds = {name: dict(KIND) for name in names}
    sent = {"kinds": kinds, "groups": {"g": {"queue": {"tokens": 5}}, "b": {}}}
    before = json.dumps(sent)
    configuration = decode_configuration(sent)
    assert json.dumps(sent) == before
    assert list(configuration.kinds) == names and list(configuration.groups) == ["g", "b"]


@pytest.mark.parametrize(
    "changed, place",
    [
        ({"new": 1}, "new"),
        ({"kinds": {"k": {**KIND, "new": 1}}}, "kinds/k/new"),
        ({"groups": {"g": {"queue": {"new": 1}}}}, "groups/g/queue/new"),
        ({"pools": {"p": {"new": 1}}}, "pools/p/new"),
        ({"tenants": {"t": {"keys": [], "new": 1}}}, "tenants/t/new"),
        ({"taichi": {"new": 1}}, "taichi/new"),
    ],
)
def test_an_unknown_field_is_reported_with_its_place(changed, place):
    with pytest.raises(ServiceError) as rejected:
        decode_configuration({**DOCUMENT, **changed})
    assert [fault["place"] for fault in rejected.value.detail["places"]] == [place]
