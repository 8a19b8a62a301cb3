"""Laboratory and console at the coming size: addresses of 2,048 shelfs, and looks that tell of them all."""

from __future__ import annotations

import asyncio
import socket

import aiohttp
import pytest
from helpers import Rig
from test_console import ADDRESS, run_with_console

from pebblehinge.console import Console
from pebblehinge.console import server as console_server
from pebblehinge.lab.faults.ground import RELEASES, names_of
from pebblehinge.lab.fleet import release_address, released
from pebblehinge.settings.load import loads
from pebblehinge.wait_accounting import OTHERS, WaitAccounting

SHELFS = 2048
FILE = f"""\
profile look {{
    importance 1
    expected 400ms
    patience 2s
    repeat redoable
}}
kind plain {{
}}
fleet {{
    heads 1024
    shelfs {SHELFS}
}}
"""


def test_no_release_of_a_shelf_has_the_address_of_another() -> None:
    """Before, s1's first release stood where s1001 did, so a fleet of over 1,000 shelfs could not be released."""
    config = loads(FILE)
    names = names_of(config)
    assert len(names) == 1 + 1024 + SHELFS * RELEASES
    assert all(names[shelf.listen] == name for name, shelf in config.shelf.items())
    ports = [int(address.rpartition(":")[2]) for address in names]
    assert max(ports) < 32_768  # below those that the kernel gives to connections
    new = released(config, "s1", 2)
    assert names[config.shelf[new].listen] == "s1"
    assert release_address(config, "127.0.0.1:10001", 0) == "127.0.0.1:10001"


def test_a_small_fleet_s_addresses_are_as_they_were() -> None:
    config = loads(FILE.replace(str(SHELFS), "30"))
    assert release_address(config, config.shelf["s7"].listen, 3) == "127.0.0.1:13007"


def test_a_viewer_on_a_slow_line_misses_looks_and_stays(monkeypatch: pytest.MonkeyPatch) -> None:
    """Before, a viewer was dropped at the first look that came while 64 KiB were unsent; one look of 2,048 shelfs is
    three times that. This one reads less than half of what comes, so it must miss some."""
    monkeypatch.setattr(console_server, "REFRESH_INTERVAL_MS", 150.0)

    def seen(read: bytes) -> list[int]:
        return [int(part.split(b"\n")[0]) for part in read.split(b"id: ")[1:] if b"\n" in part]

    async def script(rig: Rig, console: Console, session: aiohttp.ClientSession) -> None:
        monkeypatch.setattr(console.view, "snapshot", lambda: {"fill": "x" * 600_000})
        host, port = ADDRESS.split(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        await loop.sock_sendall(sock, b"GET /events HTTP/1.1\r\nHost: x\r\n\r\n")
        read, end = b"", loop.time() + 20.0
        while not (numbers := seen(read)) or numbers[-1] - numbers[0] < len(numbers):
            assert loop.time() < end, (numbers, console.snapshot_number)
            got = await asyncio.wait_for(loop.sock_recv(sock, 40_000), 5.0)
            assert got, "dropped"
            read += got
            await asyncio.sleep(0.025)
        assert console.dropped_viewers == 0 and len(console.viewers) == 1 and numbers == sorted(numbers)
        sock.close()

    run_with_console(script)


def test_accounts_of_two_thousand_volumes_keep_five_causes_of_each() -> None:
    """Before, 4,096 pairs were kept: the smaller causes of most volumes were added up under others."""
    accounting, now = WaitAccounting(), 0.0
    for n in range(2000):
        first, second = 2 * n, 2 * n + 1
        accounting.enqueue(now, first, f"vol-{n}", f"s{n}", 1.0)  # with nothing out: the head
        now += 1.0
        accounting.start_attempt(now, first, True)
        accounting.enqueue(now, second, f"vol-{n}", f"s{n}", 1.0)  # behind its own
        now += 10.0 + n % 3
        accounting.end_attempt(now, first)
        accounting.start_attempt(now, second, False)  # a retry
        now += 10.0 + n % 5
        accounting.end_attempt(now, second)
    kept = [{share.cause for share in accounting.shares(f"vol-{n}")} for n in range(2000)]
    assert min(map(len, kept)) >= 4 and sum(map(len, kept)) > 4096
    assert not any(OTHERS in causes for causes in kept)
