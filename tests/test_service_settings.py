"""Gateways with different settings in one process, and bounded caches."""

from __future__ import annotations

import dataclasses

import pytest
from helpers import until
from service_rig import SETTINGS, Rig, build_request, respond_with, run_on_rig

from pebblehinge.decide import dispatch, request, valuation
from pebblehinge.platform_settings import read_settings
from pebblehinge.service.server import Service


def test_two_gateways_in_one_process_share_no_settings() -> None:
    """Request classes, quota plans and volumes have equal names and different settings in each gateway."""
    other_settings = {
        **SETTINGS,
        "classes": [
            {**SETTINGS["classes"][1], "name": "look", "give_up_s": 0.2},
            {**SETTINGS["classes"][0], "name": "save", "give_up_s": 5.0},
        ],
        "service_levels": [{"base_rate": 1.0, "ceiling_rate": 0.001, "limit_burst": 6.0, "name": "gold"}],
        "family_info": {**SETTINGS["family_info"], "writes": [False, True]},
    }

    async def script(rig: Rig) -> None:
        config = dataclasses.replace(rig.gateway.config, settings=read_settings(other_settings))
        second_gateway = Service(rig.gateway.loop, config)
        second_gateway.log = lambda event, **facts: None  # type: ignore[method-assign]
        await second_gateway.start()
        await until(lambda: second_gateway.pools.nodes)
        assert second_gateway.listener.socket is not None
        first_port, second_port = rig.port, second_gateway.listener.socket.getsockname()[1]
        for _ in range(3):  # The second gateway has its own limit, and its allowance is empty.
            rig.port = first_port
            assert (await rig.fetch(build_request())).status == 200
            rig.port = second_port
            assert (await rig.fetch(build_request(X_Deadline_Ms="150"))).status == 503
        rig.port = first_port
        rig.storage_nodes[0].handle_request = respond_with(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
        request_count = len(rig.storage_nodes[0].received_requests)
        assert (
            await rig.fetch(build_request("save", 0, b"abc"))
        ).status == 502  # This class is non-idempotent in the first gateway only.
        assert len(rig.storage_nodes[0].received_requests) == request_count + 1
        second_gateway.watch.stop()

    run_on_rig(script)


def test_full_caches_drop_no_open_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """More extents and volumes are open at once than the caches hold; each request is answered, and none remains."""
    monkeypatch.setattr(request, "MAX_CACHE_ENTRIES", 4)
    monkeypatch.setattr(dispatch, "MAX_CACHE_ENTRIES", 4)
    monkeypatch.setattr(valuation, "MAX_CACHE_ENTRIES", 4)

    async def script(rig: Rig) -> None:
        rig.gateway.core.scheduler.dispatcher.extents.max_rows = 4
        clients = [await rig.client() for _ in range(40)]
        for n, client in enumerate(clients):
            io_header = f"volume={n:016x},units=2,shard=0,hosts=1"
            client.write(build_request(X_IO=io_header, Cookie=f"block={n:016x}", X_Deadline_Ms="1900"))
        for client in clients:
            assert (await client.next_answer()).status in (200, 503)
        gateway = rig.gateway
        assert (
            not gateway.core.pending
            and not any(gateway.core.scheduler.nodes.queues)
            and len(gateway.core.scheduler.dispatcher.extents) <= 4
        )

    run_on_rig(script)
