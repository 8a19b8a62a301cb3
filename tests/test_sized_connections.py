"""Open files at the target size: each role can hold its connections to 1,024 gateways and 2,048 storage nodes."""

from __future__ import annotations

import os
import resource
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from pebblehinge.daemon.open_files import needed_open_files
from pebblehinge.settings.load import loads

INITIAL_SOFT_LIMIT = 1024  # open files; the soft limit that supervisors set
SETTINGS = """\
profile look {{
    importance 1
    expected 400ms
    patience 2s
    repeat redoable
}}
kind plain {{
}}
listing {{
    listen {host}:7100
}}
shelf s1 {{
    listen {host}:7200
}}
head h1 {{
    listen {host}:7001
}}
member g1 {{
    listen {host}:6001
}}
"""
ROLE_OPTIONS = {
    "listing": [],
    "shelf": ["--name", "s1"],
    "group": ["--name", "g1", "--begin"],
    "head": ["--name", "h1"],
}
CLIENTS_PER_GATEWAY = 4615  # 4,200,000 clients over 910 gateways


def host() -> str:
    """Returns a loopback address that differs between the test runs of a machine."""
    return f"127.{60 + os.getpid() % 100}.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"


def start_process(role: str, folder: Path) -> subprocess.Popen[bytes]:
    """Starts a process of a role under the usual soft limit, and waits until it is ready."""
    (folder / "fleet.conf").write_text(SETTINGS.format(host=host()))
    store_options = ["--store", str(folder / "store")] if role == "group" else []
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    process = subprocess.Popen(
        [sys.executable, "-m", "pebblehinge", role, str(folder / "fleet.conf"), *ROLE_OPTIONS[role], *store_options],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (INITIAL_SOFT_LIMIT, hard_limit)),
    )
    assert process.stdout is not None and process.stdout.readline().startswith(b"ready")
    return process


@pytest.mark.parametrize("role", ROLE_OPTIONS)
def test_each_role_raises_its_limit_of_open_files_to_what_its_peers_need(role: str, tmp_path: Path) -> None:
    """Only gateways used to raise their limit: a discovery server, node or member closed its 1,025th connection."""
    process = start_process(role, tmp_path)
    try:
        soft_limit, hard_limit = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        assert soft_limit >= min(hard_limit, needed_open_files(role, connections=CLIENTS_PER_GATEWAY))
    finally:
        process.kill()
        process.wait()


def test_needed_open_files_grow_with_the_settings_and_cover_the_target_size() -> None:
    assert needed_open_files("listing") > 1024 + 2048
    assert needed_open_files("shelf") > 1024 and needed_open_files("group") > 1024
    assert needed_open_files("listing", gateways=3000, storage_nodes=5000) >= 8000
    assert needed_open_files("shelf", gateways=3000) >= 3000
    assert needed_open_files("head", connections=CLIENTS_PER_GATEWAY) > CLIENTS_PER_GATEWAY + 2048


def test_default_connection_limit_covers_the_clients_of_a_gateway() -> None:
    assert loads("").limits.connections >= CLIENTS_PER_GATEWAY


def test_discovery_serves_more_connections_than_its_initial_soft_limit(tmp_path: Path) -> None:
    process = start_process("listing", tmp_path)
    connections: list[socket.socket] = []
    try:
        for _ in range(INITIAL_SOFT_LIMIT + 200):
            connections.append(socket.create_connection((host(), 7100), 5.0))
        damaged_hello = b"\x00\x00\x00\x02\x00\x00\x00\x00\x01\x90"  # answered with the reason, then closed
        connections[-1].sendall(damaged_hello)
        connections[-1].settimeout(5.0)
        assert b"checksum" in connections[-1].recv(300)
    finally:
        for connection in connections:
            connection.close()
        process.kill()
        process.wait()
