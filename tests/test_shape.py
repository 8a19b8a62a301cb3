"""The shape of the program: which files hold decisions, and that imports go one way."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "pebblehinge"


def name_of(file: Path) -> str:
    parts = file.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {name_of(file): file for file in sorted(PACKAGE.rglob("*.py"))}


def imported(text: str) -> set[str]:
    """What a module imports as it is loaded or for its types; not what its functions load when they are called."""
    found: set[str] = set()
    todo: list[ast.AST] = [ast.parse(text)]
    while todo:
        node = todo.pop()
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                inner = f"{node.module}.{alias.name}"
                found.add(inner if inner in MODULES else node.module)
        elif not isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda):
            todo += ast.iter_child_nodes(node)
    return found


def circle(graph: dict[str, set[str]]) -> list[str]:
    """Some modules that import each other in a ring, or none."""
    done: set[str] = set()

    def walk(at: str, way: list[str]) -> list[str]:
        if at in way:
            return [*way[way.index(at) :], at]
        if at in done:
            return []
        for to in sorted(graph.get(at, set())):
            if found := walk(to, [*way, at]):
                return found
        done.add(at)
        return []

    return next((ring for start in sorted(graph) if (ring := walk(start, []))), [])


def test_imports_go_one_way() -> None:
    graph = {name: imported(file.read_text()) & set(MODULES) for name, file in MODULES.items()}
    assert sum(map(len, graph.values())) > 300
    assert circle(graph) == []


def test_a_circle_is_found() -> None:
    assert circle({"a": {"b"}, "b": {"c"}, "c": {"a"}}) == ["a", "b", "c", "a"]
    assert circle({"a": {"b", "c"}, "b": {"c"}, "c": set()}) == []
    for_types = (
        "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from pebblehinge.gateway import GatewayServer\n"
    )
    assert imported(for_types) == {"typing", "pebblehinge.gateway"}


def test_all_decisions_of_a_request_are_named() -> None:
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(named) == sorted(f.relative_to(ROOT).as_posix() for f in (PACKAGE / "decide").glob("*.py"))


def test_decisions_know_of_nothing_that_could_ask_a_socket_or_a_clock() -> None:
    allowed = {"__future__", "bisect", "collections", "dataclasses", "enum", "heapq", "math", "random", "typing"}
    for name, file in MODULES.items():
        if name.startswith(("pebblehinge.decide", "pebblehinge.scheduler_state")) or name == "pebblehinge.interface":
            ours = ("pebblehinge.decide", "pebblehinge.scheduler_state", "pebblehinge.interface")
            if not name.startswith("pebblehinge.decide"):
                ours = ours[1:]
            odd = {i for i in imported(file.read_text()) if not i.startswith(ours)} - allowed
            assert not odd, f"{name} imports {odd}"
