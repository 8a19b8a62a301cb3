"""Heads as processes: started while discovery is down, many at once, told to reload or end while they load."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from helpers import LOOPBACK
from service_rig import CONFIG, SETTINGS, Client, ScriptedNode, build_request, entry, listing

from pebblehinge.service import early_signals

SHORT = {**SETTINGS, "classes": [{**c, "give_up_s": 0.5} for c in SETTINGS["classes"]]}
READY = b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"
WITHIN_S = 10.0


@pytest.fixture
def silent() -> Iterator[str]:
    """The address of a discovery that is down as the platform's is: it takes connections and says nothing."""
    with socket.create_server((LOOPBACK, 0), backlog=128) as sock:
        yield f"{LOOPBACK}:{sock.getsockname()[1]}"


class Heads:
    def __init__(self, folder: Path) -> None:
        self.folder, self.running = folder, []  # type: ignore[var-annotated]

    def start(self, discovery: str, known: Any, how: list[str] | None = None) -> tuple[subprocess.Popen[bytes], int]:
        with socket.create_server((LOOPBACK, 0)) as free:
            port = free.getsockname()[1]
        config = {**CONFIG, "listen": f"{LOOPBACK}:{port}", "discovery": discovery, "settings": SHORT}
        file = self.folder / f"{port}.json"
        file.write_text(json.dumps(config | ({"known": known} if known else {})))
        env = {**os.environ, "RELAY_CONFIG": str(file), "PYTHONDONTWRITEBYTECODE": "1"}
        command = [sys.executable, *(how or ["-m", "pebblehinge.service"])]
        process = subprocess.Popen(command, env=env, stderr=subprocess.DEVNULL)
        self.running.append(process)
        return process, port


@pytest.fixture
def heads(tmp_path: Path) -> Iterator[Heads]:
    made = Heads(tmp_path)
    yield made
    for process in made.running:
        process.kill()
        process.wait()


async def asks(port: int, data: bytes) -> Any:
    """The answer to what is sent once somebody listens there, or None."""
    client = Client()
    try:
        await asyncio.get_running_loop().create_connection(lambda: client, LOOPBACK, port)
        client.write(data)
        return await client.next_answer()
    except (OSError, AssertionError):
        return None
    finally:
        if client.read_count:
            client.transport.abort()


async def ready(port: int) -> float:
    """How long it takes to be ready (s)."""
    began = time.monotonic()
    while time.monotonic() - began < 3 * WITHIN_S:
        answer = await asks(port, READY)
        if answer is not None and answer.status == 200:
            break
        await asyncio.sleep(0.02)
    return time.monotonic() - began


def test_many_that_start_at_once_with_discovery_down_soon_decide_by_the_list_they_had(
    heads: Heads, silent: str
) -> None:
    async def script() -> None:
        node = ScriptedNode()
        await node.start()
        ports = [heads.start(silent, listing(1, entry("s0", node.port, 0)))[1] for _ in range(12)]
        took = await asyncio.gather(*(ready(port) for port in ports))
        assert max(took) < WITHIN_S, took
        answers = await asyncio.gather(*(asks(port, build_request()) for port in ports))
        assert [a.status for a in answers] == [200] * 12 and len(node.received_requests) == 12

    asyncio.run(script())


@pytest.mark.parametrize("known", [None, {"version": 1, "servers": "none"}])
def test_with_no_list_at_all_a_head_is_ready_in_time_and_says_when_to_return(
    heads: Heads, silent: str, known: Any
) -> None:
    """It was never ready: with discovery down and no list that can be read, for as long as that lasted."""

    async def script() -> None:
        _, port = heads.start(silent, known)
        assert await ready(port) < WITHIN_S
        answer = await asks(port, build_request())
        assert answer.status == 503 and answer.header_values(b"retry-after")

    asyncio.run(script())


def while_it_loads(*numbers: signal.Signals) -> list[str]:
    """How a head is started that gets signals once it has begun and before anything of weight is loaded."""
    kills = "; ".join(f"os.kill(os.getpid(), {int(number)})" for number in numbers)
    begun = "import os, runpy, sys; from pebblehinge.service import early_signals; early_signals.record_signals(); "
    rest = "; assert 'uvloop' not in sys.modules; runpy.run_module('pebblehinge.service', run_name='__main__')"
    return ["-c", begun + kills + rest]


def test_signals_are_kept_before_anything_else_is_loaded() -> None:
    lines = (Path(early_signals.__file__).parent / "__main__.py").read_text().splitlines()
    held = next(n for n, line in enumerate(lines) if "early_signals.record_signals()" in line)
    loads = [n for n, line in enumerate(lines) if line.startswith(("import", "from"))]
    assert held < loads[-1]
    before = [lines[n] for n in loads if n < held]
    assert before == ["import os", "import sys", "from pebblehinge.service import early_signals"]


def test_a_reload_while_a_head_still_loads_does_not_end_it(heads: Heads, silent: str) -> None:
    """SIGHUP killed a process that had not come to set its handler."""

    async def script() -> None:
        node = ScriptedNode()
        await node.start()
        how = while_it_loads(signal.SIGHUP)
        process, port = heads.start(silent, listing(1, entry("s0", node.port, 0)), how)
        assert await ready(port) < WITHIN_S and process.poll() is None

    asyncio.run(script())


def test_an_end_while_a_head_still_loads_is_its_whole_life_and_no_crash(heads: Heads, silent: str) -> None:
    """It comes up, serves what clients ask for as long as any head that ends, and ends with status 0."""

    async def script() -> None:
        node = ScriptedNode()
        await node.start()
        how = while_it_loads(signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)
        process, port = heads.start(silent, listing(1, entry("s0", node.port, 0)), how)
        until = time.monotonic() + WITHIN_S
        answer = None
        while answer is None and time.monotonic() < until:
            answer = await asks(port, build_request())
        assert answer.status == 200
        assert await asyncio.to_thread(process.wait, WITHIN_S) == 0

    asyncio.run(script())
