"""The script that writes variants of site files, applied to a small site file."""

import tomllib

import pytest
from deployments import vary

SITE = """name = "harbour"
wire = "words.json"
machines = [
  { class = "front", zone = "east", count = 3, spare = 1 },
  { class = "front", zone = "west", count = 2, spare = 1 },
  { class = "core", zone = "east", count = 1, spare = 1 },
  { class = "core", zone = "west", count = 2, spare = 1 },
]
services = [
  { name = "pilots", servers = [{ zone = "east", count = 3 }, { zone = "west", count = 4 }] },
]
[net]
cross_zone_ms = 1.4
[discovery]
lag_ms = 800
per_s = 42.0
[tolerate]
machines = 1
[cloud]
per_s = 50.0
[[day]]
name = "quiet"
"""


def list_counts(site, machine_class):
    return [row["count"] for row in site["machines"] if row["class"] == machine_class]


@pytest.fixture
def site_file(tmp_path):
    path = tmp_path / "harbour.toml"
    path.write_text(SITE)
    (tmp_path / "words.json").write_text("{}")
    return path


def read_variants(site_file, folder):
    paths = vary.write_variants(site_file, folder, [*vary.VARIANTS])
    return {path.stem.removeprefix("harbour-"): tomllib.loads(path.read_text()) for path in paths}


def test_each_variant_changes_its_own_figures_and_the_name(site_file, tmp_path):
    sites = read_variants(site_file, tmp_path / "out")
    assert {site["name"] for site in sites.values()} == {
        f"harbour-{name}" for name in vary.VARIANTS
    }
    assert (tmp_path / "out" / "words.json").exists()
    assert list_counts(sites["five-core"], "core") == [3, 2]
    assert sites["five-core"]["tolerate"]["machines"] == 2
    assert sites["far-zones"]["net"]["cross_zone_ms"] == 6.0
    assert list_counts(sites["heavy-zone"], "front") == [4, 1]
    assert [row["count"] for row in sites["heavy-zone"]["services"][0]["servers"]] == [6, 1]
    assert sites["lagging-list"]["discovery"] == {"lag_ms": 3000, "per_s": 20.0}
    assert sites["lagging-list"]["cloud"]["per_s"] == 50.0
    spares = [row["spare"] for row in sites["many-spares"]["machines"] if row["class"] == "core"]
    assert spares == [4, 4]
    assert all(site["day"] == [{"name": "quiet"}] for site in sites.values())


def test_what_a_variant_does_not_name_stays_as_it_was(site_file, tmp_path):
    plain = tomllib.loads(SITE)
    far = read_variants(site_file, tmp_path / "out")["far-zones"]
    far["net"]["cross_zone_ms"] = plain["net"]["cross_zone_ms"]
    far["name"] = plain["name"]
    assert far == plain


def test_a_site_file_without_the_field_is_refused(site_file, tmp_path):
    site_file.write_text(SITE.replace("cross_zone_ms = 1.4\n", ""))
    with pytest.raises(vary.UnknownFieldError):
        vary.write_variants(site_file, tmp_path / "out", ["far-zones"])
