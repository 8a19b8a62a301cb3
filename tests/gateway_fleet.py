"""A group with any number of gateways in virtual time, which counts the frames that its connections send."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from config_group import Group
from group_settings import settings_text

from pebblehinge.net import Peer
from pebblehinge.replicated_config.config_watcher import ConfigWatcher
from pebblehinge.settings.load import loads
from pebblehinge.wire import Kind


class Fleet(Group):
    """A group whose gateways share one volume; `roll_out` gives version N a limit of 100 + N units per second."""

    def __init__(self, gateway_count: int, seed: int = 1) -> None:
        super().__init__(seed)
        self.gateway_names = [f"h{n}" for n in range(1, gateway_count + 1)]
        self.config = loads(self.text(100))
        self.sent_frames: Counter[Kind] = Counter()
        self.opened_connections: list[tuple[float, str, str]] = []  # milliseconds, gateway, the member's address
        self.modes: Counter[str] = Counter()

    def text(self, limit: float) -> str:
        return settings_text(limit, len(self.gateway_names), len(self.gateway_names))

    def is_active_everywhere(self, version: int, *excluded_gateways: str) -> bool:
        return all(
            self.gateway_states[name][1:] == ("active", version)
            for name in self.gateway_names
            if name not in excluded_gateways
        )

    async def roll_out(self, version: int, *excluded_gateways: str, timeout_s: float = 12.0) -> float:
        """Proposes a version and waits until it is active at all but the excluded gateways; returns milliseconds."""
        proposed_at = self.clock()
        ok, reason = await self.propose(self.text(100 + version), version)
        assert ok, reason
        await self.wait_until(lambda: self.is_active_everywhere(version, *excluded_gateways), timeout_s)
        return self.clock() - proposed_at


def run_with_fleet(script: Callable[[Fleet], Coroutine[Any, Any, None]], gateway_count: int, seed: int = 1) -> Fleet:
    """Runs a script once version 1 is active at all gateways, with the limits monitored meanwhile."""
    fleet = Fleet(gateway_count, seed)
    original_send, original_on_connected = Peer.send, ConfigWatcher.on_connected

    def count_and_send(self: Peer, kind: Kind, *values: Any) -> None:
        fleet.sent_frames[kind] += 1
        original_send(self, kind, *values)

    def record_connection(self: ConfigWatcher, connection: Any) -> None:
        fleet.opened_connections.append((fleet.clock(), self.application.gateway, connection.address))
        original_on_connected(self, connection)

    async def main() -> None:
        for name in fleet.config.member:
            await fleet.start_member(name)
        for name in fleet.gateway_names:
            fleet.start_gateway(name)
            await asyncio.sleep(0.3 / gateway_count)  # spreads their heartbeats over the interval of 300 ms
        await fleet.wait_until(fleet.leader)
        await fleet.roll_out(1)
        monitor = asyncio.ensure_future(fleet.monitor_limits())
        await asyncio.sleep(1.0)
        finished_tasks, _ = await asyncio.wait(
            [monitor, asyncio.ensure_future(script(fleet))], return_when=asyncio.FIRST_COMPLETED
        )
        monitor.cancel()
        for task in finished_tasks:
            task.result()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Peer, "send", count_and_send)
        patch.setattr(ConfigWatcher, "on_connected", record_connection)
        fleet.loop.run_until_complete(main())
        for task in asyncio.all_tasks(fleet.loop):
            task.cancel()
        fleet.loop.close()
    assert not fleet.loop.callback_errors, fleet.loop.callback_errors[:1]
    return fleet
