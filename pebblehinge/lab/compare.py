"""Two settings or two builds on the same days: pairs by seed, so that chance of the load falls out."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import numpy as np


def figures(python: str, root: str, day: str, seed: int) -> dict[str, Any]:
    """One day in virtual time by the build under `root`."""
    done = subprocess.run(
        [python, "-m", "pebblehinge", "lab", "day", day, "--virtual", "--quiet", "--json", "--seed", str(seed)],
        capture_output=True,
        text=True,
        cwd=root,
        env={**os.environ, "PYTHONPATH": root},
        check=False,
    )
    if done.returncode not in (0, 1):
        raise RuntimeError(done.stderr.strip().splitlines()[-1] if done.stderr.strip() else f"exit {done.returncode}")
    return json.loads(done.stdout)


def interval(differences: list[float], seed: int = 1) -> tuple[float, float, float]:
    """Mean of paired differences with a 95% interval by resampling."""
    values = np.array(differences)
    draws = np.random.default_rng(seed).choice(values, (4000, len(values))).mean(axis=1)
    low, high = np.percentile(draws, [2.5, 97.5]).tolist()
    return float(values.mean()), low, high


def compare(a: str, b: str, root_a: str, root_b: str, seeds: list[int], jobs: int) -> dict[str, Any]:
    """Service, p99 and rejected of B against A, by pairs of one seed."""
    work = [(root, day, seed) for seed in seeds for root, day in ((root_a, a), (root_b, b))]
    with ThreadPoolExecutor(jobs) as pool:
        got = list(pool.map(lambda w: figures(sys.executable, w[0], w[1], w[2]), work))
    first, second = got[::2], got[1::2]
    told: dict[str, Any] = {"seeds": seeds, "a": a, "b": b}
    for name, read in (
        ("service", lambda x: x["service"]),
        ("p99_ms", lambda x: x["latency_ms"]["p99"]),
        ("pushed_back", lambda x: x["answers"]["pushed_back"] / max(1, x["accesses"])),
    ):
        mean, low, high = interval([read(y) - read(x) for x, y in zip(first, second, strict=True)])
        told[name] = {
            "a": round(float(np.mean([read(x) for x in first])), 4),
            "b": round(float(np.mean([read(x) for x in second])), 4),
            "difference": round(mean, 4),
            "low": round(low, 4),
            "high": round(high, 4),
            "clear": bool(low > 0 or high < 0),
        }
    told["broken"] = {
        side: sorted({rule for x in rows for rule, said in x["rules"].items() if not said["kept"]})
        for side, rows in (("a", first), ("b", second))
    }
    return told


def build_root(root: str | None) -> str:
    """The folder that holds a build: this one's own if none is named."""
    if root is None:
        return str(Path(__file__).resolve().parents[2])
    if not (Path(root) / "pebblehinge" / "__main__.py").is_file():
        raise RuntimeError(f"{root} holds no build of pebblehinge")
    return str(Path(root).resolve())
