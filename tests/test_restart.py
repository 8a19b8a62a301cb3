"""Gateways as processes: started together while discovery is down, and signalled during their imports."""

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

SHORT_TIMEOUT_SETTINGS = {**SETTINGS, "classes": [{**c, "give_up_s": 0.5} for c in SETTINGS["classes"]]}
READINESS_REQUEST = b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"
MAX_READY_S = 10.0


@pytest.fixture
def silent_discovery() -> Iterator[str]:
    """Yields the address of a failed discovery that accepts connections and never answers, as the platform's does."""
    with socket.create_server((LOOPBACK, 0), backlog=128) as sock:
        yield f"{LOOPBACK}:{sock.getsockname()[1]}"


class GatewayProcesses:
    """Gateways that run as processes, with their configurations in one folder."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.processes = folder, []  # type: ignore[var-annotated]

    def start(
        self, discovery: str, known_list: Any, arguments: list[str] | None = None
    ) -> tuple[subprocess.Popen[bytes], int]:
        with socket.create_server((LOOPBACK, 0)) as free_socket:
            port = free_socket.getsockname()[1]
        config = {**CONFIG, "listen": f"{LOOPBACK}:{port}", "discovery": discovery, "settings": SHORT_TIMEOUT_SETTINGS}
        path = self.folder / f"{port}.json"
        path.write_text(json.dumps(config | ({"known": known_list} if known_list else {})))
        env = {**os.environ, "RELAY_CONFIG": str(path), "PYTHONDONTWRITEBYTECODE": "1"}
        command = [sys.executable, *(arguments or ["-m", "pebblehinge.service"])]
        process = subprocess.Popen(command, env=env, stderr=subprocess.DEVNULL)
        self.processes.append(process)
        return process, port


@pytest.fixture
def gateways(tmp_path: Path) -> Iterator[GatewayProcesses]:
    processes = GatewayProcesses(tmp_path)
    yield processes
    for process in processes.processes:
        process.kill()
        process.wait()


async def request_answer(port: int, data: bytes) -> Any:
    """Returns the answer to `data`, or None if no gateway listens or answers."""
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


async def measure_ready_s(port: int) -> float:
    """Returns the time until the gateway is ready, in seconds."""
    start_s = time.monotonic()
    while time.monotonic() - start_s < 3 * MAX_READY_S:
        answer = await request_answer(port, READINESS_REQUEST)
        if answer is not None and answer.status == 200:
            break
        await asyncio.sleep(0.02)
    return time.monotonic() - start_s


def test_gateways_started_together_without_discovery_use_the_configured_list(
    gateways: GatewayProcesses, silent_discovery: str
) -> None:
    async def script() -> None:
        node = ScriptedNode()
        await node.start()
        ports = [gateways.start(silent_discovery, listing(1, entry("s0", node.port, 0)))[1] for _ in range(12)]
        ready_times_s = await asyncio.gather(*(measure_ready_s(port) for port in ports))
        assert max(ready_times_s) < MAX_READY_S, ready_times_s
        answers = await asyncio.gather(*(request_answer(port, build_request()) for port in ports))
        assert [a.status for a in answers] == [200] * 12 and len(node.received_requests) == 12

    asyncio.run(script())


@pytest.mark.parametrize("known_list", [None, {"version": 1, "servers": "none"}])
def test_gateway_without_any_list_becomes_ready_and_sends_retry_after(
    gateways: GatewayProcesses, silent_discovery: str, known_list: Any
) -> None:
    """Without discovery and with no valid list, the gateway was not ready for as long as that lasted."""

    async def script() -> None:
        _, port = gateways.start(silent_discovery, known_list)
        assert await measure_ready_s(port) < MAX_READY_S
        answer = await request_answer(port, build_request())
        assert answer.status == 503 and answer.header_values(b"retry-after")

    asyncio.run(script())


def args_with_early_signals(*signals: signal.Signals) -> list[str]:
    """Returns interpreter arguments that start a gateway and signal it before large libraries are imported."""
    kill_calls = "; ".join(f"os.kill(os.getpid(), {int(number)})" for number in signals)
    setup_code = (
        "import os, runpy, sys; from pebblehinge.service import early_signals; early_signals.record_signals(); "
    )
    run_code = "; assert 'uvloop' not in sys.modules; runpy.run_module('pebblehinge.service', run_name='__main__')"
    return ["-c", setup_code + kill_calls + run_code]


def test_signals_are_recorded_before_other_imports() -> None:
    lines = (Path(early_signals.__file__).parent / "__main__.py").read_text().splitlines()
    record_line = next(n for n, line in enumerate(lines) if "early_signals.record_signals()" in line)
    import_lines = [n for n, line in enumerate(lines) if line.startswith(("import", "from"))]
    assert record_line < import_lines[-1]
    imports_before = [lines[n] for n in import_lines if n < record_line]
    assert imports_before == ["import os", "import sys", "from pebblehinge.service import early_signals"]


def test_sighup_during_imports_does_not_end_the_gateway(gateways: GatewayProcesses, silent_discovery: str) -> None:
    """SIGHUP killed a process that had not yet installed its handler."""

    async def script() -> None:
        node = ScriptedNode()
        await node.start()
        arguments = args_with_early_signals(signal.SIGHUP)
        process, port = gateways.start(silent_discovery, listing(1, entry("s0", node.port, 0)), arguments)
        assert await measure_ready_s(port) < MAX_READY_S and process.poll() is None

    asyncio.run(script())


def test_sigterm_during_imports_is_a_graceful_shutdown(gateways: GatewayProcesses, silent_discovery: str) -> None:
    """The gateway starts, serves requests as long as any gateway during shutdown, and exits with status 0."""

    async def script() -> None:
        node = ScriptedNode()
        await node.start()
        arguments = args_with_early_signals(signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)
        process, port = gateways.start(silent_discovery, listing(1, entry("s0", node.port, 0)), arguments)
        deadline_s = time.monotonic() + MAX_READY_S
        answer = None
        while answer is None and time.monotonic() < deadline_s:
            answer = await request_answer(port, build_request())
        assert answer.status == 200
        assert await asyncio.to_thread(process.wait, MAX_READY_S) == 0

    asyncio.run(script())
