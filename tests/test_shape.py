"""The module structure: which files hold decisions, and that imports have no cycles."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "pebblehinge"


def module_name(file: Path) -> str:
    parts = file.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_name(file): file for file in sorted(PACKAGE.rglob("*.py"))}


def imported_modules(text: str) -> set[str]:
    """Returns the imports of a module at import time or for types, without those inside of functions."""
    found: set[str] = set()
    pending_nodes: list[ast.AST] = [ast.parse(text)]
    while pending_nodes:
        node = pending_nodes.pop()
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                submodule = f"{node.module}.{alias.name}"
                found.add(submodule if submodule in MODULES else node.module)
        elif not isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda):
            pending_nodes += ast.iter_child_nodes(node)
    return found


def find_cycle(graph: dict[str, set[str]]) -> list[str]:
    """Returns one import cycle, with its first module repeated at the end, or an empty list."""
    visited: set[str] = set()

    def walk(module: str, path: list[str]) -> list[str]:
        if module in path:
            return [*path[path.index(module) :], module]
        if module in visited:
            return []
        for target in sorted(graph.get(module, set())):
            if found := walk(target, [*path, module]):
                return found
        visited.add(module)
        return []

    return next((cycle for start in sorted(graph) if (cycle := walk(start, []))), [])


def test_imports_have_no_cycle() -> None:
    graph = {name: imported_modules(file.read_text()) & set(MODULES) for name, file in MODULES.items()}
    assert sum(map(len, graph.values())) > 300
    assert find_cycle(graph) == []


def test_cycle_is_found() -> None:
    assert find_cycle({"a": {"b"}, "b": {"c"}, "c": {"a"}}) == ["a", "b", "c", "a"]
    assert find_cycle({"a": {"b", "c"}, "b": {"c"}, "c": set()}) == []
    type_checking_source = (
        "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from pebblehinge.gateway import GatewayServer\n"
    )
    assert imported_modules(type_checking_source) == {"typing", "pebblehinge.gateway"}


def test_all_decision_modules_are_listed_in_the_deploy_file() -> None:
    policy_files = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(policy_files) == sorted(f.relative_to(ROOT).as_posix() for f in (PACKAGE / "decide").glob("*.py"))


def test_decision_modules_import_no_sockets_or_clocks() -> None:
    allowed = {"__future__", "bisect", "collections", "dataclasses", "enum", "heapq", "math", "random", "typing"}
    for name, file in MODULES.items():
        if name.startswith(("pebblehinge.decide", "pebblehinge.scheduler_state")) or name == "pebblehinge.interface":
            own_packages = ("pebblehinge.decide", "pebblehinge.scheduler_state", "pebblehinge.interface")
            if not name.startswith("pebblehinge.decide"):
                own_packages = own_packages[1:]
            unexpected = {i for i in imported_modules(file.read_text()) if not i.startswith(own_packages)} - allowed
            assert not unexpected, f"{name} imports {unexpected}"
