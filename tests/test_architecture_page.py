"""docs/architecture.md against the tree: what it names is there, and it names every package."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "architecture.md"
FORMER_NAMES = "### Modules whose names were invented"  # a table of what is no longer there


def names_of(text: str) -> list[str]:
    """Every name in backticks that is a path of the tree, in the page's order."""
    quoted = re.findall(r"`([^`\n]+)`", text.split(FORMER_NAMES)[0])
    return [name for name in quoted if re.fullmatch(r"(\w+/)+(\w+\.py)?(::[\w.]+)?", name)]


def fault_of(name: str, root: Path) -> str | None:
    """Why a named file, folder or definition is not in the tree; None where it is."""
    path, _, symbol = name.partition("::")
    file = next((base / path for base in (root, root / "pebblehinge") if (base / path).exists()), None)
    if file is None:
        return f"{name}: no such file"
    body: list[ast.stmt] = ast.parse(file.read_text()).body if symbol else []
    for part in symbol.split(".") if symbol else ():
        found = [node for node in body if getattr(node, "name", None) == part]
        if not found:
            return f"{name}: {part} is not defined there"
        body = getattr(found[0], "body", [])
    return None


def missing_names(text: str, root: Path) -> list[str]:
    return [fault for name in names_of(text) if (fault := fault_of(name, root)) is not None]


def packages_of(root: Path) -> list[str]:
    """The package's parts that a reader must be told of: folders, and modules beside them."""
    parts = [p for p in (root / "pebblehinge").iterdir() if not p.name.startswith("_")]
    folders = [f"{p.name}/" for p in parts if (p / "__init__.py").exists()]
    return sorted([*folders, *(p.name for p in parts if p.suffix == ".py")])


def packages_in_table(text: str) -> list[str]:
    """The first column of the table of packages, in its order."""
    section = text.partition("\n## Packages\n")[2].partition("\n## ")[0]
    rows = [line.split("|")[1] for line in section.splitlines() if line.startswith("| `")]
    return [name for row in rows for name in re.findall(r"`([^`]+)`", row)]


def imports_of(root: Path, package: str) -> set[str]:
    """The packages that a package imports as it is loaded; not what its functions load when they are called."""
    folder = root / "pebblehinge" / package
    files = sorted(folder.rglob("*.py")) if folder.is_dir() else [folder.with_suffix(".py")]
    found: set[str] = set()
    for file in files:
        for node in ast.parse(file.read_text()).body:
            if isinstance(node, ast.ImportFrom) and node.module and node.module.split(".")[0] == "pebblehinge":
                parts = node.module.split(".")
                found |= {parts[1]} if len(parts) > 1 else {alias.name for alias in node.names}
    return found - {package}


def broken_order(order: list[str], imports: dict[str, set[str]]) -> list[str]:
    return [
        f"{package} imports {other}, which stands above it"
        for at, package in enumerate(order)
        for other in order[:at]
        if other in imports[package]
    ]


def test_what_the_page_names_is_in_the_tree() -> None:
    text = PAGE.read_text()
    assert len(names_of(text)) > 100
    assert missing_names(text, ROOT) == []


def test_every_package_is_in_the_table() -> None:
    assert sorted(packages_in_table(PAGE.read_text())) == packages_of(ROOT)


def made_up_tree(root: Path) -> Path:
    for package in ("alpha", "beta"):
        (root / "pebblehinge" / package).mkdir(parents=True)
        (root / "pebblehinge" / package / "__init__.py").write_text("")
    (root / "pebblehinge" / "alpha" / "one.py").write_text("class Thing:\n    def act(self):\n        pass\n")
    (root / "pebblehinge" / "__main__.py").write_text("")
    (root / "pebblehinge" / "gamma.py").write_text("")
    return root


def test_a_name_that_is_not_there_is_found(tmp_path: Path) -> None:
    root = made_up_tree(tmp_path)
    sound = "`pebblehinge/alpha/one.py`, `alpha/one.py`, `beta/`, `pebblehinge/alpha/one.py::Thing.act`, `sent / held`"
    assert len(names_of(sound)) == 4
    assert missing_names(sound, root) == []
    wrong = "`pebblehinge/alpha/two.py` `delta/` `alpha/one.py::Other` `alpha/one.py::Thing.rest` `alpha/one.py`"
    assert missing_names(wrong, root) == [
        "pebblehinge/alpha/two.py: no such file",
        "delta/: no such file",
        "alpha/one.py::Other: Other is not defined there",
        "alpha/one.py::Thing.rest: rest is not defined there",
    ]


def test_a_package_that_is_not_told_of_is_found(tmp_path: Path) -> None:
    root = made_up_tree(tmp_path)
    table = "| package | job |\n| --- | --- |\n| `alpha/` | one |\n| `gamma.py` | two |\n"
    page = f"# A page\n\n## Packages\n\n{table}\n## Rest\n"
    assert packages_in_table(page) == ["alpha/", "gamma.py"]
    assert packages_of(root) == ["alpha/", "beta/", "gamma.py"]
    assert sorted(packages_in_table(page)) != packages_of(root)
    assert packages_in_table(page.replace("| `alpha/`", "| `alpha/`, `beta/`")) == packages_of(root)


def test_the_table_of_packages_is_in_the_order_of_imports() -> None:
    """A package stands above all that it imports as it is loaded, as the page says."""
    order = [name.rstrip("/").removesuffix(".py") for name in packages_in_table(PAGE.read_text())]
    assert broken_order(order, {package: imports_of(ROOT, package) for package in order}) == []


def test_a_package_above_its_importer_is_found() -> None:
    imports = {"low": {"none"}, "high": {"low"}}
    assert broken_order(["high", "low"], imports) == []
    assert broken_order(["low", "high"], imports) == ["high imports low, which stands above it"]
