"""Tenants of a configuration: decoding, validation, and unique API keys."""

import pytest

from linkhaven.api import ServiceError
from linkhaven.configuration import Tenant, decode_configuration, digest_api_key
from linkhaven.platform.translation import translate_configuration

ROUTE = {
    "name": "r-1",
    "hostname": "desk.example",
    "path_prefix": "/ask/",
    "route_type": "streaming",
    "timeout_ms": 8_000,
    "target_service": "pool-1",
}
SERVICE = {"name": "pool-1", "max_connections": 10}


def configure(*tenants, **route):
    source = {"route_rules": [{**ROUTE, **route}], "services": [SERVICE], "tenants": list(tenants)}
    return decode_configuration(translate_configuration(source, 0.2, 10))


def test_a_tenant_is_read_with_digests_in_place_of_its_keys():
    configuration = configure(
        {"name": "t-1", "api_keys": ["k1", "k2"], "priority": 1, "rate_per_s": 4, "burst_size": 6}
    )
    digests = (digest_api_key("k1"), digest_api_key("k2"))
    assert configuration.tenants == {"t-1": Tenant(digests, 4, 6, 1)}
    assert "k1" not in repr(configuration)


@pytest.mark.parametrize("rate", [0, None])
def test_a_tenant_without_a_rate_has_no_limit(rate):
    tenant = configure({"name": "t-1", "api_keys": [], "rate_per_s": rate}).tenants["t-1"]
    assert not tenant.is_limited
    assert tenant.priority is None


def test_a_configuration_without_tenants_asks_for_no_key():
    source = {"route_rules": [ROUTE], "services": [SERVICE]}
    assert decode_configuration(translate_configuration(source, 0.2, 10)).tenants is None


def test_an_empty_list_of_tenants_is_not_the_same_as_none():
    assert configure().tenants == {}


def test_a_public_route_is_marked():
    assert configure(public=True).kinds["r-1"].is_public
    assert not configure(public=False).kinds["r-1"].is_public


def refusal_of(*tenants):
    with pytest.raises(ServiceError) as refused:
        configure(*tenants)
    assert refused.value.code == "plan_invalid"
    return refused.value.detail["places"]


def test_two_tenants_with_one_key_are_refused_and_both_are_named_without_the_key():
    places = refusal_of({"name": "t-1", "api_keys": ["k1"]}, {"name": "t-2", "api_keys": ["k1"]})
    assert places == [{"place": "tenants/t-2/keys/0", "fault": "is a key of t-1 too"}]


@pytest.mark.parametrize(
    "tenant",
    [
        {"api_keys": ["k1"]},
        {"name": "t-1"},
        {"name": "t-1", "api_keys": "k1"},
        {"name": "t-1", "api_keys": [7]},
        {"name": "t-1", "api_keys": None},
        {"name": "", "api_keys": []},
        {"name": 4, "api_keys": []},
        {"name": "t-1", "api_keys": [], "rate_per_s": -1},
        {"name": "t-1", "api_keys": [], "rate_per_s": "9"},
        {"name": "t-1", "api_keys": [], "burst_size": -1},
        {"name": "t-1", "api_keys": [], "priority": "high"},
        "t-1",
    ],
)
def test_a_tenant_that_cannot_be_read_is_refused(tenant):
    assert refusal_of(tenant)


def test_two_tenants_of_one_name_are_refused():
    tenant = {"name": "t-1", "api_keys": []}
    assert refusal_of(tenant, tenant) == [{"place": "tenants/t-1", "fault": "stands twice"}]
