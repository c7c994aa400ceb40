"""What a process imports before it serves: libraries that it may never need are not among it."""

import subprocess
import sys

import pytest

PROGRAM = """
import sys
import linkhaven.wire, linkhaven.{part}
print(",".join(name for name in ("pkg_resources", "jsonschema") if name in sys.modules))
"""


@pytest.mark.parametrize("part", ["router", "controller"])
def test_a_start_imports_no_library_that_only_some_processes_use(part):
    told = subprocess.run(
        [sys.executable, "-c", PROGRAM.format(part=part)],
        capture_output=True,
        check=True,
        text=True,
    )
    assert told.stdout.strip() == ""


def test_a_package_tool_that_was_imported_before_is_left_alone():
    program = (
        "import sys, types; own = types.ModuleType('pkg_resources');"
        "own.declare_namespace = lambda name: None; sys.modules['pkg_resources'] = own;"
        "import linkhaven.wire; print(sys.modules['pkg_resources'] is own)"
    )
    told = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True, text=True
    )
    assert told.stdout.strip() == "True"
