"""Gateways with other settings in one process, and tables that are bounded."""

from __future__ import annotations

import dataclasses

import pytest
from helpers import until
from service_rig import SETTINGS, Rig, build_request, respond_with, run_on_rig

from pebblehinge.decide import dispatch, request, valuation
from pebblehinge.platform_settings import read_settings
from pebblehinge.service.server import Service


def test_two_heads_in_one_process_share_nothing_of_their_settings() -> None:
    """Classes, plans and volumes of equal names, another meaning in each."""
    other = {
        **SETTINGS,
        "classes": [
            {**SETTINGS["classes"][1], "name": "look", "give_up_s": 0.2},
            {**SETTINGS["classes"][0], "name": "save", "give_up_s": 5.0},
        ],
        "service_levels": [{"base_rate": 1.0, "ceiling_rate": 0.001, "limit_burst": 6.0, "name": "gold"}],
        "family_info": {**SETTINGS["family_info"], "writes": [False, True]},
    }

    async def script(rig: Rig) -> None:
        config = dataclasses.replace(rig.gateway.config, settings=read_settings(other))
        second = Service(rig.gateway.loop, config)
        second.log = lambda event, **facts: None  # type: ignore[method-assign]
        await second.start()
        await until(lambda: second.pools.nodes)
        assert second.listener.socket is not None
        first_port, second_port = rig.port, second.listener.socket.getsockname()[1]
        for _ in range(3):  # the second's limit is its own, its store empty: nothing goes
            rig.port = first_port
            assert (await rig.fetch(build_request())).status == 200
            rig.port = second_port
            assert (await rig.fetch(build_request(X_Deadline_Ms="150"))).status == 503
        rig.port = first_port
        rig.storage_nodes[0].handle_request = respond_with(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
        request_count = len(rig.storage_nodes[0].received_requests)
        assert (
            await rig.fetch(build_request("save", 0, b"abc"))
        ).status == 502  # non-idempotent here, whatever it is there
        assert len(rig.storage_nodes[0].received_requests) == request_count + 1
        second.watch.stop()

    run_on_rig(script)


def test_full_tables_drop_nothing_that_is_owed(monkeypatch: pytest.MonkeyPatch) -> None:
    """More extents and volumes are open at once than are remembered: each has its answer, and nothing is left."""
    monkeypatch.setattr(request, "MAX_CACHE_ENTRIES", 4)
    monkeypatch.setattr(dispatch, "MAX_CACHE_ENTRIES", 4)
    monkeypatch.setattr(valuation, "MAX_CACHE_ENTRIES", 4)

    async def script(rig: Rig) -> None:
        rig.gateway.core.scheduler.dispatcher.extents.max_rows = 4
        callers = [await rig.client() for _ in range(40)]
        for n, client in enumerate(callers):
            io = f"volume={n:016x},units=2,shard=0,hosts=1"
            client.write(build_request(X_IO=io, Cookie=f"block={n:016x}", X_Deadline_Ms="1900"))
        for client in callers:
            assert (await client.next_answer()).status in (200, 503)
        gateway = rig.gateway
        assert (
            not gateway.core.pending
            and not any(gateway.core.scheduler.nodes.queues)
            and len(gateway.core.scheduler.dispatcher.extents) <= 4
        )

    run_on_rig(script)
