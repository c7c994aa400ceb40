"""A build of the platform's programs never removes files that a running program may need."""

import importlib.util
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SCRIPT = ROOT / "platform" / "place_build.py"


@pytest.fixture
def build():
    spec = importlib.util.spec_from_file_location("place_build", SCRIPT)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.fixture
def workspace(tmp_path, build):
    for source in build.source_folders(tmp_path):
        folder = source / "linkhaven" / (source.parent.name if source.name == "src" else "platform")
        folder.mkdir(parents=True)
        (folder / "__init__.py").write_text("VALUE = 1\n")
    (tmp_path / "target" / "deps").mkdir(parents=True)
    return tmp_path


def inodes(folder):
    return {path: path.stat().st_ino for path in sorted(folder.rglob("*"))}


def test_a_build_of_unchanged_sources_touches_nothing(workspace, build):
    deps = workspace / "target" / "deps"
    assert build.place_packages(workspace, deps)
    before = inodes(deps)
    assert not build.place_packages(workspace, deps)
    assert inodes(deps) == before
    assert [path.name for path in deps.parent.iterdir()] == ["deps"]


@pytest.mark.parametrize("can_exchange", [True, False])
def test_a_changed_build_is_installed_as_a_whole(workspace, build, monkeypatch, can_exchange):
    if not can_exchange:
        monkeypatch.setattr(build, "exchange_folders", lambda one, other: False)
    deps = workspace / "target" / "deps"
    build.place_packages(workspace, deps)
    wire = workspace / "packages" / "wire" / "src" / "linkhaven" / "wire"
    (wire / "__init__.py").write_text("VALUE = 2\n")
    (wire / "more.py").write_text("VALUE = 3\n")
    assert build.place_packages(workspace, deps)
    assert (deps / "linkhaven" / "wire" / "__init__.py").read_text() == "VALUE = 2\n"
    assert (deps / "linkhaven" / "wire" / "more.py").exists()
    assert (deps / "linkhaven" / "wire" / "__pycache__").is_dir()
    assert [path.name for path in deps.parent.iterdir()] == ["deps"]


def test_the_packages_are_never_missing_while_a_changed_build_is_installed(
    workspace, build, monkeypatch
):
    deps = workspace / "target" / "deps"
    build.place_packages(workspace, deps)
    was_present = []
    for name in ("stage_packages", "is_same_tree", "exchange_folders"):
        step = getattr(build, name)

        def checked(*arguments, step=step):
            was_present.append((deps / "linkhaven" / "api" / "__init__.py").exists())
            result = step(*arguments)
            was_present.append((deps / "linkhaven" / "api" / "__init__.py").exists())
            return result

        monkeypatch.setattr(build, name, checked)
    schema = workspace / "packages" / "api" / "src" / "linkhaven" / "api" / "__init__.py"
    schema.write_text("VALUE = 9\n")
    assert build.place_packages(workspace, deps)
    assert was_present and all(was_present)


def test_a_removed_module_is_gone_after_the_next_build(workspace, build):
    deps = workspace / "target" / "deps"
    package = workspace / "packages" / "configuration" / "src" / "linkhaven" / "configuration"
    (package / "old.py").write_text("VALUE = 1\n")
    build.place_packages(workspace, deps)
    (package / "old.py").unlink()
    assert build.place_packages(workspace, deps)
    assert not (deps / "linkhaven" / "configuration" / "old.py").exists()


def test_every_package_that_the_programs_import_is_built(build):
    """The simulator and the stage are tools; all other packages belong to the programs."""
    found = {path.name for path in (ROOT / "packages").iterdir() if (path / "src").is_dir()}
    assert found - {"simulator", "stage"} == set(build.DAEMON_PACKAGES)
