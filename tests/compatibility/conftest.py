"""Where the modules stand that these tests use beside their own."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[1:1] = [str(ROOT / "tests"), str(ROOT / "benchmarks")]
