"""What a checkout costs beside another one, in turns within one run: a decision, a gateway's request, a start.

    python benchmarks/costs.py --against ../other-checkout [--rounds 7] [--part decision --part gateway --part start]

decision  the way of a request through the module, by each checkout's own copy of decision_cost.py: us
gateway   CPU of one request at the gateway, by each checkout's own copy of head_cost.py, under the same load: us
start     `python -m pebblehinge.service` from its start until it says that it is ready: ms

Exit status 1 where the median of the pairs' ratios is more than 1.05. PYTHONPATH names this checkout. Bytecode of both
goes to a folder of the run, and one round that isn't counted writes it: else the one that has it already starts sooner.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import socketserver
import statistics
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any

import uvloop
from head_cost import Heads, full_load

HERE = Path(__file__).resolve().parent.parent
ALLOWED = 1.05
REQUESTS = 20_000
WAIT_S = 20.0  # for a start
SETTINGS: dict[str, Any] = {
    "ceilings": {
        "cancel": True,
        "conn_idle_s": 30.0,
        "connect_timeout_s": 0.25,
        "max_open": 1000,
        "max_retry_after_s": 0.5,
        "retry_after": True,
        "try_limit": 3,
    },
    "classes": [
        {"effect": "safe", "give_up_s": 2.0, "late_worth": 0.1, "name": "look", "on_time_s": 0.4, "points": 2.0}
    ],
    "client_habits": {"marks_retry": True},
    "family_info": {
        "idle_worth": 0.05,
        "mean_units": 2.0,
        "most_units": 6,
        "shards": 4,
        "within_share": 0.35,
        "writes": [False],
    },
    "membership_mode": "push",
    "rules": {"cold_share": 0.3, "fall_multiple": 2.0, "warm_after_s": 5.0},
    "service_levels": [{"base_rate": 900.0, "name": "gold", "reserve": 900.0}],
    "step_s": 0.002,
}


def environment(checkout: Path, **more: str) -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": str(checkout), **more}


def decision(checkout: Path) -> float:
    script = next(checkout.glob("benchmarks/**/decision_cost.py"))
    done = subprocess.run(
        [sys.executable, "-P", str(script), "--way"], env=environment(checkout), capture_output=True, check=True
    )
    return float(done.stdout)


def gateway(checkout: Path) -> float:
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    heads = Heads("real", 12, 4096, int(time.monotonic() * 10) % 40, checkout)
    try:
        return float(loop.run_until_complete(full_load(loop, heads, 4096, REQUESTS))["cpu_us"])
    finally:
        heads.stop()
        loop.close()


class Discovery(socketserver.BaseRequestHandler):
    """Tells each watch a list of one node."""

    def handle(self) -> None:
        self.request.recv(65536)
        line = (
            json.dumps(
                {
                    "version": 1,
                    "full": True,
                    "servers": [
                        {
                            "id": "s1",
                            "addr": "127.0.0.1:9",
                            "zone": "a",
                            "kind": "m",
                            "cell": 0,
                            "state": "Ready",
                            "weight": 1.0,
                            "started_ms": 0,
                        }
                    ],
                }
            ).encode()
            + b"\n"
        )
        self.request.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line))
        while self.request.recv(65536):
            pass


class Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True


def ready(port: int) -> bool:
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/health/ready", timeout=1.0) as answer:
            return bool(answer.status == 200)
    except (OSError, urllib.error.HTTPError):
        return False


def start(checkout: Path) -> float:
    with Server(("127.0.0.1", 0), Discovery) as discovery, tempfile.TemporaryDirectory() as folder:
        threading.Thread(target=discovery.serve_forever, daemon=True).start()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        file = Path(folder) / "config.json"
        file.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": f"127.0.0.1:{discovery.server_address[1]}",
                    "seed": "8c1f",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                    "settings": SETTINGS,
                }
            )
        )
        began = time.perf_counter()
        process = subprocess.Popen(
            [sys.executable, "-P", "-m", "pebblehinge.service"],
            cwd=folder,
            env=environment(checkout, RELAY_CONFIG=str(file)),
        )
        try:
            while not ready(port):
                if time.perf_counter() - began > WAIT_S or process.poll() is not None:
                    raise RuntimeError(f"{checkout}: the service is not ready")
                time.sleep(0.002)
            return (time.perf_counter() - began) * 1000.0
        finally:
            process.kill()
            process.wait()
            discovery.shutdown()


PARTS: dict[str, tuple[Callable[[Path], float], str]] = {
    "decision": (decision, "us"),
    "gateway": (gateway, "us"),
    "start": (start, "ms"),
}


def compare(part: str, other: Path, rounds: int) -> float:
    """Prints one line: medians, and the median of the pairs' ratios, which is returned."""
    measure, unit = PARTS[part]
    measure(HERE), measure(other)  # bytecode, and what the system keeps of files
    pairs = []
    for number in range(rounds):
        first, second = (HERE, other) if number % 2 else (other, HERE)
        pair = {first: measure(first), second: measure(second)}
        pairs.append((pair[HERE], pair[other]))
    ratios = sorted(here / there for here, there in pairs)
    here, there = (statistics.median(column) for column in zip(*pairs, strict=True))
    ratio = statistics.median(ratios)
    print(
        f"{part}: {here:.2f} {unit} here, {there:.2f} there; ratio of {rounds} pairs: median {ratio:.3f}, "
        f"{ratios[0]:.3f} to {ratios[-1]:.3f}",
        flush=True,
    )
    return ratio


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", type=Path, required=True, help="the checkout of before")
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--part", action="append", choices=list(PARTS), help="only this; may be said again")
    options = parser.parse_args()
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)
    with tempfile.TemporaryDirectory() as folder:
        os.environ["PYTHONPYCACHEPREFIX"] = folder
        ratios = [compare(part, options.against.resolve(), options.rounds) for part in options.part or PARTS]
    return 1 if max(ratios) > ALLOWED else 0


if __name__ == "__main__":
    sys.exit(main())
