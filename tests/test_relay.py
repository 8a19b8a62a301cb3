"""The laboratory's relay: the effect of each fault on bytes and datagrams of unmodified processes."""

from __future__ import annotations

import asyncio
import time

import pytest
from helpers import LOOPBACK, until
from relay_rig import DatagramRecorder, RecordingEndpoint, RelayRig, on_relay

from pebblehinge.lab.faults.process_environment import ProcessEnvironment, RelayedLoop


def test_a_healthy_link_forwards_all_bytes_and_closes_both_ends() -> None:
    async def script(rig: RelayRig) -> None:
        here, there = await rig.connect()
        data = bytes(range(256)) * 4096
        here.transport.write(data)
        await until(lambda: len(there.got) == len(data))
        there.transport.write(b"yes")
        await until(lambda: here.got == b"yes")
        assert there.got == data and rig.relay.count[("a", "b")] > 1 and rig.relay.count[("b", "a")] == 1
        here.transport.close()
        await until(lambda: there.lost is not None and here.lost is not None)
        assert there.eof and there.lost == "None"
        await until(lambda: not rig.relay.ends)

    on_relay(script)


def test_a_closed_port_refuses_and_a_blocked_link_connects_after_it_heals() -> None:
    async def script(rig: RelayRig) -> None:
        rig.set_link("b", "a", blocked=True)  # either direction is enough
        making = asyncio.ensure_future(rig.connect())
        await asyncio.sleep(0.15)
        assert not making.done() and not rig.accepted
        rig.set_link("b", "a")
        here, there = await making
        here.transport.write(b"x")
        await until(lambda: there.got == b"x")
        rig.server.close()
        rig.port = 1  # nobody listens there
        with pytest.raises(ConnectionRefusedError):
            await rig.loop.create_connection(RecordingEndpoint, LOOPBACK, 1)

    on_relay(script)


def test_bytes_on_a_blocked_direction_arrive_complete_and_in_order_after_it_heals() -> None:
    async def script(rig: RelayRig) -> None:
        here, there = await rig.connect()
        rig.set_link("a", "b", blocked=True)
        here.transport.write(b"one")
        there.transport.write(b"back")
        await until(lambda: here.got == b"back")  # the other direction is healthy
        here.transport.write(b"two")
        await asyncio.sleep(0.1)
        assert there.got == b""
        here.transport.close()  # closing is held back too
        await asyncio.sleep(0.05)
        assert there.lost is None
        rig.set_link("a", "b")
        await until(lambda: there.lost is not None)
        assert there.got == b"onetwo"

    on_relay(script)


def test_bytes_buffered_on_a_blocked_link_are_bounded() -> None:
    async def script(rig: RelayRig) -> None:
        here, there = await rig.connect()
        rig.set_link("a", "b", blocked=True)
        for _ in range(400):
            here.transport.write(bytes(1 << 16))
        await asyncio.sleep(0.3)
        held = sum(end.buffered_bytes for end in rig.relay.ends)
        assert 1 << 16 < held < 1 << 20, held
        rig.set_link("a", "b")
        await until(lambda: len(there.got) == 400 << 16)

    on_relay(script)


def test_a_link_has_the_configured_delay_and_rate() -> None:
    async def script(rig: RelayRig) -> None:
        here, there = await rig.connect()
        rig.set_link("a", "b", delay_ms=200.0)
        began = time.monotonic()
        here.transport.write(b"late")
        await until(lambda: there.got == b"late")
        assert 0.19 < time.monotonic() - began < 2.0
        rig.set_link("a", "b", rate=20_000.0)
        began = time.monotonic()
        here.transport.write(bytes(8_000))
        await until(lambda: len(there.got) == 8_004)
        assert 0.3 < time.monotonic() - began < 4.0

    on_relay(script)


def test_a_reset_notifies_both_ends_and_half_open_only_one() -> None:
    async def script(rig: RelayRig) -> None:
        here, there = await rig.connect()
        assert rig.relay.reset("b", "a") == 1
        await until(lambda: here.lost is not None and there.lost is not None)
        assert "Reset" in there.lost
        here, there = await rig.connect()
        assert rig.relay.half_open("a", "b") == 1
        await until(lambda: there.lost is not None)
        for _ in range(5):
            here.transport.write(b"into nothing")
            await asyncio.sleep(0.02)
        assert here.lost is None and there.got == b""
        here.transport.close()
        await until(lambda: not rig.relay.ends)
        assert rig.relay.half_open("a", "b") == rig.relay.reset("a", "b") == 0

    on_relay(script)


def test_datagrams_keep_their_source_and_are_lost_or_repeated_as_configured() -> None:
    async def script(rig: RelayRig) -> None:
        recorders = [DatagramRecorder(), DatagramRecorder()]
        ends = [await rig.loop.create_datagram_endpoint(lambda e=e: e, local_addr=(LOOPBACK, 0)) for e in recorders]
        places = [end.get_extra_info("sockname")[:2] for end, _ in ends]
        # Both are sockets of `a` here; the relay is told that the second one's address is `b`.
        rig.relay.names[f"{places[1][0]}:{places[1][1]}"] = "b"
        wrapped = recorders[0].transport
        wrapped.own = f"{places[0][0]} {places[0][1]}"
        wrapped.sendto(b"one", places[1])
        await until(lambda: len(recorders[1].got) == 1)
        assert recorders[1].got == [(b"one", tuple(places[0]))]
        rig.set_link("a", "b", lose=1.0)
        for _ in range(20):
            wrapped.sendto(b"lost", places[1])
        await asyncio.sleep(0.1)
        assert len(recorders[1].got) == 1 and rig.relay.count[("a", "b")] == 21
        rig.set_link("a", "b", repeat=1.0)
        wrapped.sendto(b"twice", places[1])
        await until(lambda: len(recorders[1].got) == 3)
        rig.set_link("a", "b", blocked=True)
        wrapped.sendto(b"cut", places[1])
        await until(lambda: rig.relay.count[("a", "b")] == 23)
        rig.set_link("a", "b")
        recorders[1].transport.transport.sendto(b"no head", places[1])  # not from the relay, so it is dropped
        await asyncio.sleep(0.1)
        assert [data for data, _ in recorders[1].got] == [b"one", b"twice", b"twice"]
        for end, _ in ends:
            end.close()

    on_relay(script)


def test_a_clock_runs_at_the_configured_rate_and_a_rate_change_causes_no_jump() -> None:
    under = ProcessEnvironment({"name": "a", "relay": ("", 0), "datagrams": ("", 0)})
    loop = RelayedLoop(under)

    async def script() -> None:
        began, shown = time.monotonic(), loop.time()
        under.set("drift", 1.0)  # twice as fast
        assert abs(loop.time() - shown) < 0.05
        await asyncio.sleep(0.4)
        passed, counted = time.monotonic() - began, loop.time() - shown
        assert 0.18 < passed < 0.39 and 1.9 < counted / passed < 2.1
        before = loop.time()
        under.set("drift", None)
        assert 0 <= loop.time() - before < 0.05
        under.set("wall", -5_000.0)
        assert -6.0 < under.clock.wall() - time.time() < -4.0
        under.set("wall", None)
        assert abs(under.clock.wall() - time.time()) < 2.0

    try:
        loop.run_until_complete(script())
    finally:
        loop.close()
