"""The same days on sockets and in virtual time, side by side: `python benchmarks/agreement.py [DAY ...]`."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from typing import Any


def play(day: str, *more: str) -> tuple[dict[str, Any], float]:
    began = time.monotonic()
    done = subprocess.run(
        [sys.executable, "-m", "pebblehinge", "lab", "day", day, "--json", "--quiet", *more],
        capture_output=True,
        text=True,
        check=False,
    )
    return json.loads(done.stdout), time.monotonic() - began


def main() -> int:
    days = sys.argv[1:] or ["quiet", "ledger", "booking-evening"]
    worst = 0.0
    print("| day | service, sockets / virtual | pushed back | p50 ms | p99 ms | seconds |")
    print("| --- | --- | --- | --- | --- | --- |")
    for day in days:
        (s, took_s), (v, took_v) = play(day), play(day, "--virtual")
        worst = max(worst, abs(s["service"] - v["service"]))
        print(
            f"| `{day}` | {s['service']:.3f} / {v['service']:.3f} | {s['answers']['pushed_back']} / "
            f"{v['answers']['pushed_back']} | {s['latency_ms']['p50']:.0f} / "
            f"{v['latency_ms']['p50']:.0f} | {s['latency_ms']['p99']:.0f} / {v['latency_ms']['p99']:.0f} | "
            f"{took_s:.0f} / {took_v:.0f} |",
            flush=True,
        )
    print(f"largest difference of service: {worst:.3f}; bound: 0.04")
    return 0 if worst <= 0.04 else 1


if __name__ == "__main__":
    sys.exit(main())
