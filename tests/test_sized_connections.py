"""Connections at the coming size: each role's process may have as many open as 1,024 heads and 2,048 shelfs bring."""

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

BEGINNING = 1024  # the soft limit that supervisors give
FILE = """\
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
ROLES = {"listing": [], "shelf": ["--name", "s1"], "group": ["--name", "g1", "--begin"], "head": ["--name", "h1"]}
CLIENTS = 4615  # of a head: 4,200,000 over 910


def host() -> str:
    return f"127.{60 + os.getpid() % 100}.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"


def begin(role: str, folder: Path) -> subprocess.Popen[bytes]:
    """A process of a role under the usual soft limit, ready."""
    (folder / "fleet.conf").write_text(FILE.format(host=host()))
    more = ["--store", str(folder / "store")] if role == "group" else []
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    process = subprocess.Popen(
        [sys.executable, "-m", "pebblehinge", role, str(folder / "fleet.conf"), *ROLES[role], *more],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (BEGINNING, hard)),
    )
    assert process.stdout is not None and process.stdout.readline().startswith(b"ready")
    return process


@pytest.mark.parametrize("role", ROLES)
def test_each_role_may_have_as_many_files_open_as_its_peers_bring(role: str, tmp_path: Path) -> None:
    """Before, only heads raised their limit: the 1,025th connection to a list, shelf or instance was closed."""
    process = begin(role, tmp_path)
    try:
        soft, hard = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        assert soft >= min(hard, needed_open_files(role, connections=CLIENTS))
    finally:
        process.kill()
        process.wait()


def test_what_a_role_needs_grows_with_its_settings_and_is_never_under_the_coming_size() -> None:
    assert needed_open_files("listing") > 1024 + 2048
    assert needed_open_files("shelf") > 1024 and needed_open_files("group") > 1024
    assert needed_open_files("listing", gateways=3000, storage_nodes=5000) >= 8000
    assert needed_open_files("shelf", gateways=3000) >= 3000
    assert needed_open_files("head", connections=CLIENTS) > CLIENTS + 2048


def test_a_head_takes_as_many_clients_as_come_to_it() -> None:
    assert loads("").limits.connections >= CLIENTS


def test_more_connections_than_a_process_began_with_are_served_by_the_list(tmp_path: Path) -> None:
    process = begin("listing", tmp_path)
    opened: list[socket.socket] = []
    try:
        for _ in range(BEGINNING + 200):
            opened.append(socket.create_connection((host(), 7100), 5.0))
        hello = b"\x00\x00\x00\x02\x00\x00\x00\x00\x01\x90"  # a damaged greeting is answered with why, then closed
        opened[-1].sendall(hello)
        opened[-1].settimeout(5.0)
        assert b"checksum" in opened[-1].recv(300)
    finally:
        for one in opened:
            one.close()
        process.kill()
        process.wait()
