"""Runs the command line in a separate process, for tests; path of the built-in days."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

DAYS_FOLDER = Path("pebblehinge/lab/days")


def run_command(*arguments: str, **options: Any) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "pebblehinge", *arguments],
        capture_output=True,
        text=True,
        timeout=100,
        check=False,
        **options,
    )
