"""Imports `circuits` without importing `pkg_resources`, to start faster.

This module is imported before the rest of the package. `circuits` tries to import `pkg_resources`
to declare itself a namespace package; where setuptools is installed, that alone took two fifths of
the import time. A stub module replaces `pkg_resources` during the import.
"""

import sys
import types

STUBBED_MODULE = "pkg_resources"


def import_circuits() -> None:
    """Import `circuits`; does nothing if `circuits` or `pkg_resources` is already imported."""
    if STUBBED_MODULE in sys.modules or "circuits" in sys.modules:
        return
    stub = types.ModuleType(STUBBED_MODULE)
    vars(stub)["declare_namespace"] = lambda name: None
    sys.modules[STUBBED_MODULE] = stub
    try:
        __import__("circuits")
    finally:
        del sys.modules[STUBBED_MODULE]


import_circuits()
