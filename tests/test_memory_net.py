"""Tests of the in-memory network's datagrams, and of nodes whose clock drifts or that are busy."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

import pytest

from pebblehinge.lab.virtual import VirtualLoop


def run_in_virtual_time(script: Coroutine[Any, Any, None], loop: VirtualLoop) -> None:
    loop.run_until_complete(asyncio.wait_for(script, 100.0))
    assert not loop.callback_errors


class RecordingProtocol(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received: list[bytes] = []

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.received.append(data)


def test_datagrams_are_lost_duplicated_blocked_and_bounded_in_number() -> None:
    loop = VirtualLoop(seed=3)
    a, b = loop.node("a"), loop.node("b")
    receiver = RecordingProtocol()

    async def script() -> None:
        sender_end, _ = await a.create_datagram_endpoint(RecordingProtocol, ("10.0.0.1", 1))
        receiver_end, _ = await b.create_datagram_endpoint(lambda: receiver, ("10.0.0.2", 1))
        with pytest.raises(OSError, match="already in use"):
            await a.create_datagram_endpoint(RecordingProtocol, ("10.0.0.2", 1))
        link = loop.net.own_link("a", "b")

        async def count_delivered(count: int, **link_changes: Any) -> int:
            count_before = len(receiver.received)
            loop.net.links[("a", "b")] = replace(link, **link_changes)
            for n in range(count):
                sender_end.sendto(b"%d" % n, ("10.0.0.2", 1))
            await asyncio.sleep(1.0)
            return len(receiver.received) - count_before

        assert await count_delivered(100) == 100
        assert 30 < await count_delivered(100, drop_probability=0.5) < 70
        assert 130 < await count_delivered(100, duplicate_probability=0.5) < 170
        assert await count_delivered(100, blocked=True) == 0
        b.freeze()
        assert await count_delivered(2_000) == 0
        b.thaw()
        await asyncio.sleep(0.1)
        # The queue of a process that does not read is bounded, as a socket buffer is.
        assert len(receiver.received) < 1_100
        receiver_end.close()
        assert await count_delivered(10) == 0
        b.kill()

    run_in_virtual_time(script(), loop)


def test_a_busy_node_queues_its_callbacks_and_runs_them_in_order_afterwards() -> None:
    loop = VirtualLoop(seed=1)
    node, calls = loop.node("a"), []

    async def script() -> None:
        for n in range(4):
            node.call_later(0.1 * n, lambda n=n: calls.append((n, round(loop.now - 1000.0, 3))))
        await asyncio.sleep(0.15)
        node.busy(0.2)
        node.busy(0.2)
        node.freeze()
        await asyncio.sleep(0.6)
        assert len(calls) == 2
        node.thaw()
        await asyncio.sleep(0.1)

    run_in_virtual_time(script(), loop)
    assert calls == [(0, 0.0), (1, 0.1), (2, 0.75), (3, 0.75)]


def test_a_clock_whose_rate_changes_continues_from_its_current_time() -> None:
    loop = VirtualLoop(seed=1)
    node, fired_at = loop.node("a"), []

    async def script() -> None:
        started_at = node.time()
        node.drift(2.0)
        assert node.time() == started_at
        node.call_later(4.0, lambda: fired_at.append(loop.now))
        node.call_at(started_at + 6.0, lambda: fired_at.append(loop.now))
        await asyncio.sleep(5.0)
        assert node.time() == pytest.approx(started_at + 10.0)
        node.drift(1.0)
        await asyncio.sleep(1.0)
        assert node.time() == pytest.approx(started_at + 11.0)

    run_in_virtual_time(script(), loop)
    assert fired_at == pytest.approx([1002.0, 1003.0])
