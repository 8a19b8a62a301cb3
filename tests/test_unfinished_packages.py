"""The linter and the type checker hold in full, but for one list of unfinished packages, which only gets shorter.

pyproject.toml has the list twice, as ruff and mypy each want it: under `per-file-ignores` and under the override with
`ignore_errors`. unfinished_packages.txt is what both may name and no more; a line goes from all three at once.
"""

from __future__ import annotations

import io
import re
import subprocess
import sys
import tokenize
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
BASELINE = ROOT / "tests" / "unfinished_packages.txt"

RULES = {"E", "F", "W", "B", "UP", "I", "N", "D", "SIM", "RET", "C901", "PLR0912", "PLR0915", "PLC0415", "RUF100"}
RELAXED = ["C901", "D", "N", "PL", "RET", "RUF", "SIM"]
IGNORED = {"D105", "D107"}
NO_PACKAGES = "{benchmarks,examples,tests}/**"

SWITCH = re.compile(
    r"#\s*(?:fmt:\s*(?:skip|off)|yapf:\s*disable|(?:ruff|flake8):\s*noqa|mypy:|type:\s*ignore\s*(?:#|$))"
)
"""A comment that switches the formatter off, a checker off for a whole file, or each check of the types in a line."""


def read_tools() -> dict[str, Any]:
    """The tool tables of pyproject.toml."""
    return tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]


def read_baseline() -> set[str]:
    """The paths that may be unfinished: a package's folder, or a module of the top level."""
    return {line for line in BASELINE.read_text().splitlines() if line and not line.startswith("#")}


def linter_list(tools: dict[str, Any]) -> set[str]:
    """The paths for which ruff ignores some rules, but for folders that hold no packages."""
    return {pattern.removesuffix("/**") for pattern in tools["ruff"]["lint"]["per-file-ignores"]} - {
        NO_PACKAGES.removesuffix("/**")
    }


def type_checker_list(tools: dict[str, Any]) -> set[str]:
    """The paths of the modules whose errors mypy ignores; a package ends in `.*`."""
    modules = [
        module
        for override in tools["mypy"]["overrides"]
        if override.keys() - {"module", "ignore_missing_imports"}
        for module in override["module"]
    ]
    return {m.removesuffix(".*").replace(".", "/") + ("" if m.endswith(".*") else ".py") for m in modules}


def differences(linter: set[str], type_checker: set[str], baseline: set[str]) -> list[str]:
    """What is wrong with the list, a line each."""
    return [
        *(f"{path}: listed for ruff alone" for path in sorted(linter - type_checker)),
        *(f"{path}: listed for mypy alone" for path in sorted(type_checker - linter)),
        *(f"{path}: added, but the list only gets shorter" for path in sorted((linter | type_checker) - baseline)),
        *(f"{path}: finished, so its line goes here too" for path in sorted(baseline - (linter | type_checker))),
    ]


def is_within(file: str, paths: Iterable[str]) -> bool:
    """Whether a file is one of the paths, or in a folder that is."""
    return any(file == path or file.startswith(path + "/") for path in paths)


def switches(source: str) -> list[int]:
    """The lines with a comment that switches a tool off; the same words in a string are none."""
    tokens = tokenize.generate_tokens(io.StringIO(source).readline)
    return [token.start[0] for token in tokens if token.type == tokenize.COMMENT and SWITCH.search(token.string)]


def lint(path: str, source: str) -> subprocess.CompletedProcess[str]:
    """What ruff says to a source, as if it stood at that path."""
    command = [sys.executable, "-m", "ruff", "check", "--no-cache", "--quiet", f"--stdin-filename={path}", "-"]
    return subprocess.run(command, cwd=ROOT, input=source, capture_output=True, text=True)


def test_the_list_is_the_same_for_both_tools_and_only_gets_shorter() -> None:
    tools = read_tools()
    found = differences(linter_list(tools), type_checker_list(tools), read_baseline())
    assert not found, "\n".join(found)
    assert [path for path in sorted(read_baseline()) if not (ROOT / path).exists()] == []


def test_an_added_a_forgotten_and_a_one_sided_entry_are_found() -> None:
    both = {"pebblehinge/lab", "pebblehinge/stated.py"}
    assert differences(both, both, both) == []
    assert differences(both | {"pebblehinge/raft"}, both | {"pebblehinge/raft"}, both) == [
        "pebblehinge/raft: added, but the list only gets shorter"
    ]
    assert differences(both - {"pebblehinge/lab"}, both, both) == ["pebblehinge/lab: listed for mypy alone"]
    assert differences(both, both - {"pebblehinge/lab"}, both) == ["pebblehinge/lab: listed for ruff alone"]
    assert differences(both, both, both | {"pebblehinge/raft"}) == [
        "pebblehinge/raft: finished, so its line goes here too"
    ]


def test_both_lists_are_read_as_the_tools_read_them() -> None:
    ignores = {NO_PACKAGES: ["D"], "pebblehinge/lab/**": ["D"], "pebblehinge/stated.py": ["D"]}
    overrides = [
        {"module": ["pebblehinge.lab.*", "pebblehinge.stated"], "ignore_errors": True},
        {"module": ["pebblehinge.raft.*"], "disallow_untyped_defs": False},
        {"module": ["hdrh.*"], "ignore_missing_imports": True},
    ]
    tools = {"ruff": {"lint": {"per-file-ignores": ignores}}, "mypy": {"overrides": overrides}}
    assert linter_list(tools) == {"pebblehinge/lab", "pebblehinge/stated.py"}
    assert type_checker_list(tools) == {"pebblehinge/lab", "pebblehinge/stated.py", "pebblehinge/raft"}


def test_no_setting_lets_more_through_than_the_list() -> None:
    ruff, mypy = read_tools()["ruff"], read_tools()["mypy"]
    assert ruff.keys() == {"line-length", "target-version", "lint"}
    assert ruff["lint"].keys() == {"select", "ignore", "pydocstyle", "per-file-ignores"}
    assert set(ruff["lint"]["select"]) >= RULES
    assert set(ruff["lint"]["ignore"]) <= IGNORED
    assert [rules for rules in ruff["lint"]["per-file-ignores"].values() if rules != RELAXED] == []
    assert mypy.keys() == {"files", "python_version", "strict", "overrides"}
    assert mypy["strict"] is True and mypy["files"] == ["pebblehinge"]
    for override in mypy["overrides"]:
        if "ignore_missing_imports" in override:
            assert not [module for module in override["module"] if module.startswith(("pebblehinge", "*"))]


def test_no_other_file_holds_settings_of_the_tools() -> None:
    names = ("ruff.toml", ".ruff.toml", "mypy.ini", ".mypy.ini", "setup.cfg")
    folders = [ROOT, *(folder for folder in (ROOT / "pebblehinge").rglob("*") if folder.is_dir())]
    assert [folder / name for folder in folders for name in names if (folder / name).exists()] == []


def test_ci_runs_the_formatter_the_linter_and_the_type_checker_before_the_tests() -> None:
    targets = dict(re.findall(r"^(\w+):([^\n]*(?:\n\t[^\n]*)*)", (ROOT / "Makefile").read_text(), re.MULTILINE))
    assert "lint" in targets["test"].splitlines()[0].split()
    commands = [line.strip().removeprefix("$(BIN)/") for line in targets["lint"].splitlines()[1:]]
    assert commands == ["ruff format --no-cache --check .", "ruff check --no-cache .", "mypy --strict"]
    assert "make test" in (ROOT / ".ci" / "run").read_text()


def test_finished_packages_switch_no_tool_off() -> None:
    unfinished = linter_list(read_tools())
    found = [
        f"{name}:{line}"
        for file in sorted((ROOT / "pebblehinge").rglob("*.py"))
        if not is_within(name := file.relative_to(ROOT).as_posix(), unfinished)
        for line in switches(file.read_text())
    ]
    assert not found, "\n".join(found)


@pytest.mark.parametrize(
    "comment",
    ["fmt: skip", "fmt:off", "ruff: noqa", "flake8: noqa: E501", "mypy: ignore-errors", "type: ignore"],
)
def test_a_comment_that_switches_a_tool_off_is_found(comment: str) -> None:
    assert switches(f"a = 1\nb = 2  # {comment}\n") == [2]
    assert switches(f"a = '# {comment}'\n") == []


def test_a_comment_that_names_what_it_suppresses_is_none_of_those() -> None:
    assert switches("a = 1  # type: ignore[misc]\nb = 2  # noqa: E741\n") == []
    assert is_within("pebblehinge/lab/a.py", {"pebblehinge/lab"})
    assert not is_within("pebblehinge/label/a.py", {"pebblehinge/lab"})


def test_the_linter_holds_in_full_for_finished_packages_and_in_part_for_the_others() -> None:
    undocumented = "def run() -> int:\n    return 1\n"
    unsorted = '"""A module."""\n\nimport sys\nimport ast\n\nprint(ast, sys)\n'
    assert "D103" in lint("pebblehinge/finished/module.py", undocumented).stdout
    for path in ["tests", "benchmarks", *sorted(linter_list(read_tools()))[:1]]:
        file = path if path.endswith(".py") else f"{path}/module.py"
        assert lint(file, undocumented).returncode == 0, file
        assert "I001" in lint(file, unsorted).stdout, file
