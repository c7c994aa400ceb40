"""The pages for readers name files and functions: each of them exists."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGES = ("docs/glossary.md", "docs/architecture.md", "CONTRIBUTING.md")
NAMED_ITEM = re.compile(r"`([a-z_]+(?:/[a-z_]+)*/[a-z_]+\.py): ([A-Za-z_][\w.]*)`")
"""How a page names an item of the code: `package/module.py: Class.method`."""

LEAST_ITEMS = {"docs/glossary.md": 40, "docs/architecture.md": 25, "CONTRIBUTING.md": 0}
"""A page whose items are no longer found by the pattern isn't checked: this many there are."""


def source_of(path):
    """The file of a module of the workspace, of the platform's adapter or of the tests."""
    found = [
        *ROOT.glob(f"packages/*/src/linkhaven/{path}"),
        *ROOT.glob(f"platform/linkhaven/{path}"),
    ]
    if (ROOT / path).is_file():
        found.append(ROOT / path)
    return found[0] if found else None


def names_in(body, prefix=""):
    """Every class, function, field and constant that a module defines, as `Class.member`."""
    names = set()
    for item in body:
        if isinstance(item, ast.ClassDef):
            names.add(prefix + item.name)
            names |= names_in(item.body, f"{prefix}{item.name}.")
        elif isinstance(item, ast.FunctionDef):
            names.add(prefix + item.name)
        elif isinstance(item, ast.Assign):
            targets = [node for target in item.targets for node in ast.walk(target)]
            names |= {prefix + node.id for node in targets if isinstance(node, ast.Name)}
            names |= slots_of(item, prefix)
        elif isinstance(item, ast.AnnAssign) and isinstance(item.target, ast.Name):
            names.add(prefix + item.target.id)
    return names


def slots_of(item, prefix):
    """The attributes that an assignment to `__slots__` lists."""
    if not any(
        isinstance(target, ast.Name) and target.id == "__slots__" for target in item.targets
    ):
        return set()
    return {
        prefix + node.value
        for node in ast.walk(item.value)
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    }


@pytest.mark.parametrize("page", PAGES)
def test_each_item_that_a_page_names_exists(page):
    items = NAMED_ITEM.findall((ROOT / page).read_text())
    assert len(items) >= LEAST_ITEMS[page], f"{page} names {len(items)} items of the code"
    missing = []
    for path, name in items:
        source = source_of(path)
        if source is None:
            missing.append(f"{path}: no such file")
        elif name not in names_in(ast.parse(source.read_text()).body):
            missing.append(f"{path}: {name}")
    assert not missing, f"{page} names what isn't there: {missing}"


@pytest.mark.parametrize("page", PAGES)
def test_each_page_and_test_that_a_page_points_to_exists(page):
    text = (ROOT / page).read_text()
    folder = (ROOT / page).parent
    links = re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", text)
    files = re.findall(r"`(tests/[\w/]+\.py)`", text)
    missing = [link for link in links if not (folder / link).exists()]
    missing += [name for name in files if not (ROOT / name).exists()]
    assert not missing, f"{page} points to what isn't there: {missing}"
