"""A framed connection: its table of handlers, and a dial given up as the connection stands, which raises nothing."""

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


@pytest.mark.parametrize("runner", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_a_dial_given_up_in_the_turn_in_which_its_connection_stands_raises_nothing(runner: Any) -> None:
    """The loop is held until the dial's time is over; the connection is there by then. On uvloop the dial closes it
    without telling its protocol, whose greeting is still to be written."""
    raised: list[dict[str, Any]] = []
    greeted: list[bool] = []

    async def script() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: raised.append(context))
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
        greeted.append(peer.transport is not None)
        server.close()

    with asyncio.Runner(loop_factory=runner) as loops:
        loops.run(script())
    assert not raised, raised[0]
    if runner is uvloop.new_event_loop:
        assert greeted == [True]  # else nothing was shown


def test_every_kind_of_frame_has_a_handler_of_its_own() -> None:
    assert list(HANDLERS) == list(Kind)
    assert len(set(HANDLERS.values())) == len(Kind)
