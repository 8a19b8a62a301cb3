"""What heads do together stays off in `run` and `sim`: no package of it is loaded there, and nothing that could be."""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

TOGETHER = (
    "fleet",
    "history",
    "catalog",
    "agreed",
    "raft",
    "lab",
    "client",
    "net",
    "wire",
    "store",
    "settings",
    "head",
)
STARTS = {"run": "pebblehinge.service", "sim": "pebblehinge.wirehost"}


def loaded(module: str) -> set[str]:
    code = f"import {module}, sys; print(*sorted(sys.modules))"
    env = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, env=env, check=True)
    return {name for name in done.stdout.split() if name.startswith("pebblehinge.")}


@pytest.mark.parametrize("key", STARTS)
def test_nothing_of_what_heads_share_is_loaded(key: str) -> None:
    """Heads may not talk to each other there."""
    how = tomllib.loads(Path("deploy/balancer.toml").read_text())[key]
    assert how == f"exec .venv/bin/python -m {STARTS[key]}"
    names = loaded(STARTS[key] + ".__main__")
    assert "pebblehinge.decide.path" in names and "pebblehinge.kept.notes" in names
    assert not {n for n in names if n.split(".")[1] in TOGETHER}


def test_what_is_loaded_is_seen() -> None:
    assert {"pebblehinge.net", "pebblehinge.settings"} <= loaded("pebblehinge.cli")
