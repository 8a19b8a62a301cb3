"""The network in memory: datagrams, clocks that drift, nodes that are busy."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

import pytest

from pebblehinge.lab.virtual import VirtualLoop


def world(script: Coroutine[Any, Any, None], loop: VirtualLoop) -> None:
    loop.run_until_complete(asyncio.wait_for(script, 100.0))
    assert not loop.callback_errors


class Ears(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.got: list[bytes] = []

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.got.append(data)


def test_datagrams_in_memory_are_lost_repeated_held_back_and_bounded() -> None:
    loop = VirtualLoop(seed=3)
    a, b = loop.node("a"), loop.node("b")
    ears = Ears()

    async def script() -> None:
        end, _ = await a.create_datagram_endpoint(Ears, ("10.0.0.1", 1))
        there, _ = await b.create_datagram_endpoint(lambda: ears, ("10.0.0.2", 1))
        with pytest.raises(OSError, match="already in use"):
            await a.create_datagram_endpoint(Ears, ("10.0.0.2", 1))
        way = loop.net.own_link("a", "b")

        async def thrown(count: int, **change: Any) -> int:
            before = len(ears.got)
            loop.net.links[("a", "b")] = replace(way, **change)
            for n in range(count):
                end.sendto(b"%d" % n, ("10.0.0.2", 1))
            await asyncio.sleep(1.0)
            return len(ears.got) - before

        assert await thrown(100) == 100
        assert 30 < await thrown(100, drop=0.5) < 70
        assert 130 < await thrown(100, duplicate_chance=0.5) < 170
        assert await thrown(100, blocked=True) == 0
        b.freeze()
        assert await thrown(2_000) == 0
        b.thaw()
        await asyncio.sleep(0.1)
        assert len(ears.got) < 1_100  # a process that does not read keeps no more than a socket would
        there.close()
        assert await thrown(10) == 0
        b.kill()

    world(script(), loop)


def test_a_busy_node_runs_nothing_until_it_is_done_and_all_of_it_in_order_after() -> None:
    loop = VirtualLoop(seed=1)
    node, ran = loop.node("a"), []

    async def script() -> None:
        for n in range(4):
            node.call_later(0.1 * n, lambda n=n: ran.append((n, round(loop.now - 1000.0, 3))))
        await asyncio.sleep(0.15)
        node.busy(0.2)
        node.busy(0.2)
        node.freeze()
        await asyncio.sleep(0.6)
        assert len(ran) == 2
        node.thaw()
        await asyncio.sleep(0.1)

    world(script(), loop)
    assert ran == [(0, 0.0), (1, 0.1), (2, 0.75), (3, 0.75)]


def test_a_node_whose_clock_drifts_goes_on_from_where_it_was() -> None:
    loop = VirtualLoop(seed=1)
    node, fired = loop.node("a"), []

    async def script() -> None:
        began = node.time()
        node.drift(2.0)
        assert node.time() == began
        node.call_later(4.0, lambda: fired.append(loop.now))
        node.call_at(began + 6.0, lambda: fired.append(loop.now))
        await asyncio.sleep(5.0)
        assert node.time() == pytest.approx(began + 10.0)
        node.drift(1.0)
        await asyncio.sleep(1.0)
        assert node.time() == pytest.approx(began + 11.0)

    world(script(), loop)
    assert fired == pytest.approx([1002.0, 1003.0])
