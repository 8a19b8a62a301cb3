"""Tests of Peer: the table of handlers, and a dial that times out just as its connection is established."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
import uvloop
from helpers import LOOPBACK

from pebblehinge import net
from pebblehinge.net import Peer
from pebblehinge.net.handlers import HANDLERS
from pebblehinge.wire import Kind, Session


@pytest.mark.parametrize("make_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_dial_that_times_out_just_as_it_connects_raises_nothing(make_loop: Any) -> None:
    """The loop is blocked until the dial has timed out, by when the connection is established. uvloop then closes it
    without notifying its protocol, which still has a greeting to write."""
    loop_errors: list[dict[str, Any]] = []
    connected: list[bool] = []

    async def run_dial() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: loop_errors.append(context))
        server = await loop.create_server(asyncio.Protocol, LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        peer = Peer(loop, Session("head", "x", 1 << 16, 64, dialed=True), 2000.0)

        async def dial() -> None:
            async with asyncio.timeout(0.01):
                await net.dial(loop, peer, f"{LOOPBACK}:{port}")

        task = loop.create_task(dial())
        await asyncio.sleep(0)
        time.sleep(0.05)
        with pytest.raises(TimeoutError):
            await task
        await asyncio.sleep(0.02)
        connected.append(peer.transport is not None)
        server.close()

    with asyncio.Runner(loop_factory=make_loop) as runner:
        runner.run(run_dial())
    assert not loop_errors, loop_errors[0]
    if make_loop is uvloop.new_event_loop:
        assert connected == [True]  # otherwise the case above did not occur


def test_every_kind_of_frame_has_its_own_handler() -> None:
    assert list(HANDLERS) == list(Kind)
    assert len(set(HANDLERS.values())) == len(Kind)
