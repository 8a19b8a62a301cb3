"""A group with as many heads as a test wants, in virtual time, with what its connections send counted by kind."""

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
    """Heads h1 to hN. `sent` counts frames by kind; `made` holds when each head's connection came, and to whom."""

    def __init__(self, heads: int, seed: int = 1) -> None:
        super().__init__(seed)
        self.gateway_names = [f"h{n}" for n in range(1, heads + 1)]
        self.config = loads(self.text(100))
        self.sent_frames: Counter[Kind] = Counter()
        self.opened_connections: list[tuple[float, str, str]] = []
        self.modes: Counter[str] = Counter()

    def text(self, limit: float) -> str:
        return settings_text(limit, len(self.gateway_names), len(self.gateway_names))

    def is_active_everywhere(self, version: int, *but: str) -> bool:
        return all(self.gateway_states[h][1:] == ("active", version) for h in self.gateway_names if h not in but)

    async def roll_out(self, number: int, *but: str, within: float = 12.0) -> float:
        """Proposes it and waits until it is in force at all heads that are there; milliseconds."""
        began = self.clock()
        ok, said = await self.propose(self.text(100 + number), number)
        assert ok, said
        await self.wait_until(lambda: self.is_active_everywhere(number, *but), within)
        return self.clock() - began


def run_with_fleet(script: Callable[[Fleet], Coroutine[Any, Any, None]], heads: int, seed: int = 1) -> Fleet:
    """Plays a script once version 1 is in force at all heads, with the parts summed up all the while."""
    fleet = Fleet(heads, seed)
    send, opened = Peer.send, ConfigWatcher.on_connected

    def counted(self: Peer, kind: Kind, *values: Any) -> None:
        fleet.sent_frames[kind] += 1
        send(self, kind, *values)

    def made(self: ConfigWatcher, wire: Any) -> None:
        fleet.opened_connections.append((fleet.clock(), self.application.gateway, wire.address))
        opened(self, wire)

    async def main() -> None:
        for name in fleet.config.member:
            await fleet.start_member(name)
        for name in fleet.gateway_names:
            fleet.start_gateway(name)
            await asyncio.sleep(0.3 / heads)  # each has a beat of its own
        await fleet.wait_until(fleet.leader)
        await fleet.roll_out(1)
        watch = asyncio.ensure_future(fleet.monitor_limits())
        await asyncio.sleep(1.0)
        done, _ = await asyncio.wait([watch, asyncio.ensure_future(script(fleet))], return_when=asyncio.FIRST_COMPLETED)
        watch.cancel()
        for task in done:
            task.result()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Peer, "send", counted)
        patch.setattr(ConfigWatcher, "on_connected", made)
        fleet.loop.run_until_complete(main())
        for task in asyncio.all_tasks(fleet.loop):
            task.cancel()
        fleet.loop.close()
    assert not fleet.loop.caught, fleet.loop.caught[:1]
    return fleet
