"""Runs the command line in a process of its own, for tests; where the shipped days lie."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

DAYS_FOLDER = Path("pebblehinge/lab/days")


def run_command(*words: str, **options: Any) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "pebblehinge", *words],
        capture_output=True,
        text=True,
        timeout=100,
        check=False,
        **options,
    )
