"""The head in service: lists from discovery, time, configuration, and what it loads."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time
from pathlib import Path

import pytest
from helpers import LOOPBACK, until
from service_rig import (
    CONFIG,
    OK,
    SETTINGS,
    NodePeer,
    Rig,
    ScriptedDiscovery,
    ScriptedNode,
    build_request,
    entry,
    listing,
    run_on_rig,
)
from test_service_life import connect

from pebblehinge.http1 import HttpRequest
from pebblehinge.interface import Outcome
from pebblehinge.platform_settings import PlatformSettingsError
from pebblehinge.service.__main__ import main
from pebblehinge.service.config import ServiceConfig, read_config
from pebblehinge.service.node_list import NodeListUpdate
from pebblehinge.service.server import Service


def test_a_late_loop_does_not_blame_the_shelf() -> None:
    """The loop runs its timers first: an answer that lay in the socket in time once counted as timed out."""

    async def script(rig: Rig) -> None:
        def handle_request(conn: NodePeer, request: HttpRequest) -> None:
            conn.write(OK)
            time.sleep(0.4)  # the head's loop, too: the attempt's time is up before the answer is read

        rig.storage_nodes[0].handle_request = handle_request
        await rig.fetch(build_request("save", 0, b"abc", X_Deadline_Ms="200"))
        assert (
            rig.gateway.core.outcome_counts[Outcome.TIMED_OUT] == 0
            and rig.gateway.core.outcome_counts[Outcome.SUCCEEDED] == 1
        )

    run_on_rig(script)


@pytest.mark.parametrize("where", ["between turns", "in a timer"])
def test_what_lay_unread_for_a_long_turn_is_due_by_so_much_earlier(where: str) -> None:
    """Lateness was measured after what it had delayed was read, and cut at 100 ms."""

    async def script(rig: Rig) -> None:
        rig.storage_nodes[0].handle_request = lambda conn, r: None
        raw = connect(rig)
        await until(lambda: rig.gateway.registry.connection_count == 1)

        def long_turn() -> None:
            raw.sendall(build_request(X_Deadline_Ms="900"))
            time.sleep(0.4)

        loop = asyncio.get_running_loop()
        loop.call_soon(long_turn) if where == "between turns" else loop.call_later(0.001, long_turn)
        await until(lambda: rig.gateway.core.pending)
        (pending,) = rig.gateway.core.pending.values()
        assert 300.0 < pending.handle.deadline_ms - pending.arrived_ms < 520.0
        await asyncio.sleep(0.1)
        assert rig.gateway.lateness_ms < 100.0

    run_on_rig(script)


def test_the_watch_goes_on_from_the_last_version_and_takes_up_changes() -> None:
    async def script(rig: Rig) -> None:
        (watch,) = rig.discovery.peers
        new = ScriptedNode()
        await new.start()
        watch.send_list(listing(2, entry("s0", rig.storage_nodes[0].port, 0, "Terminating"), full=False))
        await until(lambda: 0 not in rig.gateway.core.scheduler.nodes.node_at_slot)
        assert (await rig.fetch(build_request())).status == 503 and not rig.storage_nodes[0].received_requests
        broken = {**entry("s9", 1, 0), "addr": "nowhere"}
        watch.write(b"1\r\n\n\r\n")  # an empty line
        watch.send_list(listing(3, broken, entry("s2", new.port, 0), entry("s0", 1, 0, "Gone"), full=False))
        await until(lambda: 0 in rig.gateway.core.scheduler.nodes.node_at_slot)
        assert (await rig.fetch(build_request())).status == 200 and len(new.received_requests) == 1
        assert "s0" not in rig.gateway.pools.nodes
        rig.discovery.node_list = listing(4, entry("s2", new.port, 0), entry("s1", rig.storage_nodes[1].port, 1))
        watch.transport.abort()
        await until(lambda: rig.gateway.watch.resume_version == 4)
        assert rig.discovery.received_requests[-1][1].target == b"/registry/instances?stream=1&index=3"

    run_on_rig(script)


def test_an_address_that_changes_is_used_and_the_old_connections_are_not() -> None:
    async def script(rig: Rig) -> None:
        await rig.fetch(build_request())
        moved = ScriptedNode()
        await moved.start()
        rig.discovery.peers[0].send_list(listing(2, entry("s0", moved.port, 0), full=False))
        await until(lambda: rig.storage_nodes[0].peers[0].is_closed)
        assert (await rig.fetch(build_request())).status == 200 and len(moved.received_requests) == 1

    run_on_rig(script)


def test_more_than_a_thousand_shelfs_and_heads_are_no_limit() -> None:
    async def script(rig: Rig) -> None:
        port = rig.storage_nodes[1].port
        rig.discovery.peers[0].send_list(listing(2, *(entry(f"t{n}", port, n) for n in range(1500))))
        await until(lambda: len(rig.gateway.core.scheduler.nodes.node_at_slot) == 1500)
        assert len(rig.gateway.pools.nodes) == 1500
        io = "volume=00000003b4d60021,units=2,shard=1499,hosts=1400"
        assert (await rig.fetch(build_request(X_IO=io))).status == 200 and len(
            rig.storage_nodes[1].received_requests
        ) == 1

    run_on_rig(script, slot_count=1500)


def test_starts_are_told_on_the_heads_own_clock_and_what_can_not_be_read_is_left_out() -> None:
    told = NodeListUpdate(
        listing(7, entry("s1", 5, 2, "Ready", 1234.5), {"id": "s2"}, {**entry("s3", 5, 2), "state": "New"})
    )
    assert [(e.node_name, e.slot, e.started_ms) for e in told.entries] == [("s1", 2, 1234.5)] and len(
        told.entry_errors
    ) == 2
    with pytest.raises(PlatformSettingsError):
        NodeListUpdate([1, 2])

    async def script(rig: Rig) -> None:
        assert abs(rig.gateway.clock() - time.time() * 1000.0) < 200.0

    run_on_rig(script)


def test_before_discovery_answers_the_known_list_serves_and_readiness_waits() -> None:
    async def script(rig: Rig) -> None:
        port = rig.storage_nodes[0].port
        known = dataclasses.replace(
            rig.gateway.config, initial_node_list=listing(1, entry("s0", port, 0)), discovery_address=(LOOPBACK, 1)
        )
        gateway = Service(rig.gateway.loop, known)
        gateway.log = lambda event, **facts: None  # type: ignore[method-assign]
        await gateway.start()
        assert gateway.listener.socket is not None and not gateway.is_ready()
        rig.port = gateway.listener.socket.getsockname()[1]
        assert (await rig.fetch(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")).status == 503
        assert (await rig.fetch(build_request())).status == 200
        await until(gateway.is_ready)
        assert (await rig.fetch(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")).status == 200
        gateway.watch.stop()

    run_on_rig(script)


def test_a_new_configuration_moves_discovery_and_drops_nothing(tmp_path: Path) -> None:
    async def script(rig: Rig) -> None:
        held: list[NodePeer] = []
        rig.storage_nodes[0].handle_request = lambda conn, r: held.append(conn)
        client = await rig.client()
        client.write(build_request())
        await until(lambda: held)
        other, (old,) = ScriptedDiscovery(), rig.discovery.peers
        await other.start()
        other.node_list = listing(5, *rig.discovery.node_list["servers"])
        file = tmp_path / "config.json"
        rig.gateway.path = str(file)
        for text in ("", "{", json.dumps({**CONFIG, "seed": "no"}), json.dumps({**CONFIG, "limits": {}})):
            file.write_text(text)
            before = rig.gateway.config
            rig.gateway.reload()
            assert rig.gateway.config is before
        settings = {**SETTINGS, "classes": [{**c, "on_time_s": 0.3} for c in SETTINGS["classes"]]}
        file.write_text(json.dumps({**CONFIG, "discovery": f"{LOOPBACK}:{other.port}", "settings": settings}))
        rig.gateway.reload()
        await until(lambda: rig.gateway.watch.resume_version == 5 and old.is_closed)
        assert (
            rig.gateway.core.scheduler.settings.request_classes["look"].latency_objective_ms == 300.0
            and rig.gateway.config.max_sockets == 256
        )
        held[0].write(OK)
        assert (await client.next_answer()).status == 200

    run_on_rig(script)


BROKEN = {
    "seed": ("xyz", "seed is 'xyz': expected hex digits"),
    "listen": ("here", "listen is 'here': expected host:port"),
    "discovery": (5, "discovery"),
    "limits": ({"sockets": 10}, "limits.sockets is 10: expected at least 64"),
    "settings": ({**SETTINGS, "rules": {}}, "settings: rules.cold_share is missing"),
    "known": ([], "known is no object"),
}


@pytest.mark.parametrize("key", BROKEN)
def test_a_configuration_that_can_not_be_used_is_one_line_and_status_2(
    key: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    value, text = BROKEN[key]
    file = tmp_path / "config.json"
    file.write_text(json.dumps({**CONFIG, key: value}))
    monkeypatch.setenv("RELAY_CONFIG", str(file))
    assert main() == 2
    err = capsys.readouterr().err
    assert text in err and err.count("\n") == 1
    monkeypatch.delenv("RELAY_CONFIG")
    assert main() == 2 and "RELAY_CONFIG" in capsys.readouterr().err


def test_the_configuration_is_read_as_the_platform_writes_it() -> None:
    config = read_config(json.dumps(CONFIG).encode())
    assert isinstance(config, ServiceConfig)
    assert config.is_write_by_class == {"look": False, "save": True} and config.longest_wait_ms == 2000.0
    assert (config.idle_timeout_ms, config.connect_timeout_ms, config.slot_count) == (30_000.0, 250.0, 4)
