"""Lab, console and wait accounting at the target size: 1,024 gateways, 2,048 storage nodes, 2,000 volumes."""

from __future__ import annotations

import asyncio
import socket

import aiohttp
import pytest
from helpers import Rig
from test_console import ADDRESS, run_with_console

from pebblehinge.console import Console
from pebblehinge.console import server as console_server
from pebblehinge.lab.faults.ground import RELEASES, names_by_address
from pebblehinge.lab.fleet import release_address, released
from pebblehinge.settings.load import loads
from pebblehinge.wait_accounting import OTHERS, WaitAccounting

STORAGE_NODES = 2048
SETTINGS = f"""\
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
    shelfs {STORAGE_NODES}
}}
"""


def test_addresses_of_released_storage_nodes_are_distinct() -> None:
    """The first release of s1 used to get the address of s1001, so no fleet of over 1,000 nodes could be released."""
    config = loads(SETTINGS)
    names = names_by_address(config)
    assert len(names) == 1 + 1024 + STORAGE_NODES * RELEASES
    assert all(names[block.listen] == name for name, block in config.shelf.items())
    ports = [int(address.rpartition(":")[2]) for address in names]
    assert max(ports) < 32_768  # below the ports that the kernel assigns to connections
    new_name = released(config, "s1", 2)
    assert names[config.shelf[new_name].listen] == "s1"
    assert release_address(config, "127.0.0.1:10001", 0) == "127.0.0.1:10001"


def test_addresses_of_releases_in_a_small_fleet_are_unchanged() -> None:
    config = loads(SETTINGS.replace(str(STORAGE_NODES), "30"))
    assert release_address(config, config.shelf["s7"].listen, 3) == "127.0.0.1:13007"


def test_slow_viewer_misses_snapshots_and_stays_connected(monkeypatch: pytest.MonkeyPatch) -> None:
    """A viewer used to be dropped at the first snapshot that came while 64 KiB were unsent; a snapshot of 2,048 storage
    nodes is three times that. This viewer reads less than half of what is sent, so it must miss some snapshots.
    """
    monkeypatch.setattr(console_server, "REFRESH_INTERVAL_MS", 150.0)

    def snapshot_numbers(received: bytes) -> list[int]:
        return [int(part.split(b"\n")[0]) for part in received.split(b"id: ")[1:] if b"\n" in part]

    async def script(rig: Rig, console: Console, session: aiohttp.ClientSession) -> None:
        monkeypatch.setattr(console.view, "snapshot", lambda: {"fill": "x" * 600_000})
        host, port = ADDRESS.split(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        await loop.sock_sendall(sock, b"GET /events HTTP/1.1\r\nHost: x\r\n\r\n")
        received, deadline_s = b"", loop.time() + 20.0
        while not (numbers := snapshot_numbers(received)) or numbers[-1] - numbers[0] < len(numbers):
            assert loop.time() < deadline_s, (numbers, console.snapshot_number)
            data = await asyncio.wait_for(loop.sock_recv(sock, 40_000), 5.0)
            assert data, "dropped"
            received += data
            await asyncio.sleep(0.025)
        assert console.dropped_viewers == 0 and len(console.viewers) == 1 and numbers == sorted(numbers)
        sock.close()

    run_with_console(script)


def test_wait_accounting_of_two_thousand_volumes_keeps_the_causes_of_each() -> None:
    """The limit of 4,096 pairs of volume and cause used to merge the smaller causes of most volumes as others."""
    accounting, now_ms = WaitAccounting(), 0.0
    for n in range(2000):
        first_id, second_id = 2 * n, 2 * n + 1
        accounting.enqueue(now_ms, first_id, f"vol-{n}", f"s{n}", 1.0)  # no attempt in flight: the cause is the gateway
        now_ms += 1.0
        accounting.start_attempt(now_ms, first_id, True)
        accounting.enqueue(now_ms, second_id, f"vol-{n}", f"s{n}", 1.0)  # behind an attempt of its own volume
        now_ms += 10.0 + n % 3
        accounting.end_attempt(now_ms, first_id)
        accounting.start_attempt(now_ms, second_id, False)  # a retry
        now_ms += 10.0 + n % 5
        accounting.end_attempt(now_ms, second_id)
    causes_by_volume = [{share.cause for share in accounting.shares(f"vol-{n}")} for n in range(2000)]
    assert min(map(len, causes_by_volume)) >= 4 and sum(map(len, causes_by_volume)) > 4096
    assert not any(OTHERS in causes for causes in causes_by_volume)
