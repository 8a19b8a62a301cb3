"""Cooperation of gateways is off in `run` and `sim`: none of its packages is imported there, even indirectly."""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

# Everything else, in particular what gateways share, stays out of both processes.
ALLOWED_PACKAGES = {
    "core",
    "decide",
    "http1",
    "interface",
    "platform_settings",
    "scheduler_state",
    "service",
    "wirehost",
}
ENTRY_POINTS = {"run": "pebblehinge.service", "sim": "pebblehinge.wirehost"}


def loaded_modules(module: str) -> set[str]:
    code = f"import {module}, sys; print(*sorted(sys.modules))"
    env = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, env=env, check=True)
    return {name for name in process.stdout.split() if name.startswith("pebblehinge.")}


@pytest.mark.parametrize("key", ENTRY_POINTS)
def test_packages_shared_by_gateways_are_not_imported(key: str) -> None:
    """Gateways must not communicate with each other there."""
    command = tomllib.loads(Path("deploy/balancer.toml").read_text())[key]
    assert command == f"exec .venv/bin/python -m {ENTRY_POINTS[key]}"
    modules = loaded_modules(ENTRY_POINTS[key] + ".__main__")
    assert "pebblehinge.decide.dispatch" in modules and "pebblehinge.scheduler_state.change_set" in modules
    assert {name.split(".")[1] for name in modules} <= ALLOWED_PACKAGES


def test_imported_packages_are_detected() -> None:
    assert {"pebblehinge.net", "pebblehinge.settings"} <= loaded_modules("pebblehinge.cli")
