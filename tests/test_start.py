"""What a process imports at startup.

Guards against a slow start caused by imports of libraries that the process may never need.
"""

import subprocess
import sys

import pytest

PROGRAM = """
import sys
import linkhaven.wire, linkhaven.{part}
print(",".join(name for name in ("pkg_resources", "jsonschema") if name in sys.modules))
"""


@pytest.mark.parametrize("part", ["router", "controller"])
def test_startup_does_not_import_libraries_used_by_some_processes_only(part):
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM.format(part=part)],
        capture_output=True,
        check=True,
        text=True,
    )
    assert result.stdout.strip() == ""


def test_an_already_imported_pkg_resources_is_kept():
    program = (
        "import sys, types; own = types.ModuleType('pkg_resources');"
        "own.declare_namespace = lambda name: None; sys.modules['pkg_resources'] = own;"
        "import linkhaven.wire; print(sys.modules['pkg_resources'] is own)"
    )
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True, text=True
    )
    assert result.stdout.strip() == "True"
