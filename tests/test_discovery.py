"""The watch of discovery on sockets: what comes, ends, moves or falls silent in the wrong moment."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import pytest
import uvloop
from gated_loop import GatedLoop
from helpers import LOOPBACK, until
from service_rig import ScriptedDiscovery, entry, listing
from test_discovery_drawn import DAMAGED, HEAD, chunk

from pebblehinge.http1 import HttpError, HttpRequest
from pebblehinge.service import departures, discovery
from pebblehinge.service.discovery import DiscoveryWatch
from pebblehinge.service.node_list import JsonObjectStream, NodeListUpdate


class Seen:
    """A watch on sockets, with a stand-in of discovery."""

    async def start(self, gated: bool = False) -> Seen:
        loop = asyncio.get_running_loop()
        self.peer, self.told, self.said = ScriptedDiscovery(), [], []  # type: ignore[var-annotated]
        await self.peer.start()
        self.peer.node_list = listing(1, entry("s0", 5, 0))
        self.loop: Any = GatedLoop(loop) if gated else loop
        self.watch = DiscoveryWatch(
            self.loop,
            (LOOPBACK, self.peer.port),
            random.Random(1),
            self.told.append,
            lambda what, **facts: self.said.append((what, facts)),
        )
        self.watch.start()
        return self

    def standings(self) -> dict[str, str]:
        return {e.node_name: e.state.value for told in self.told for e in told.entries}


def on_sockets(script: Any, gated: bool = False) -> None:
    async def run() -> None:
        seen = await Seen().start(gated)
        try:
            await asyncio.wait_for(script(seen), 10.0)
        finally:
            seen.watch.stop()

    uvloop.run(run())


def test_a_list_that_comes_before_its_connection_is_handed_over_counts() -> None:
    """The answer came in the turn in which the connection was made; nobody knew of that connection yet, and the list
    was dropped. Discovery had told it and would not again."""

    async def script(seen: Seen) -> None:
        await until(lambda: seen.told)
        assert seen.told[0].version == 1
        seen.loop.release_event.set()
        await until(lambda: seen.watch.connect_task is None)
        assert len(seen.watch.connections) == 1

    on_sockets(script, gated=True)


def test_a_connection_that_ends_before_it_is_handed_over_is_made_anew() -> None:
    async def script(seen: Seen) -> None:
        await until(lambda: seen.told)
        seen.peer.peers[0].transport.abort()
        await until(lambda: not seen.watch.connections)
        seen.loop.release_event.set()
        await until(lambda: len(seen.peer.peers) == 2 and seen.watch.connections)

    on_sockets(script, gated=True)


def test_beside_a_silent_watch_another_is_opened_and_the_old_one_may_still_tell(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "SILENCE_RECONNECT_S", 0.2)

    async def script(seen: Seen) -> None:
        await until(lambda: seen.told)
        (old,), seen.peer.handle_request = seen.peer.peers, lambda conn, request: conn.write(HEAD)
        await asyncio.sleep(0.25)
        seen.watch.check_silence()
        await until(lambda: len(seen.peer.peers) == 2 and len(seen.watch.connections) == 2)
        old.send_list(listing(2, entry("s0", 5, 0, "Terminating"), full=False))
        await until(lambda: seen.watch.newest_version == 2)
        seen.peer.peers[1].send_list(listing(3, entry("s0", 5, 0, "Gone"), full=False))
        await until(lambda: seen.watch.newest_version == 3 and old.is_closed)
        old_watch = seen.watch.connections
        assert len(old_watch) == 1

    on_sockets(script)


@pytest.mark.parametrize("indent", [None, 1, "\t"])
def test_lists_may_come_indented_and_in_any_pieces(indent: Any) -> None:
    async def script(seen: Seen) -> None:
        await until(lambda: seen.told)
        odd = 'a "quoted" {name] \\'
        text = json.dumps(listing(2, entry(odd, 5, 0), entry("s2", 5, 1)), indent=indent).encode() + b"\n\n"
        text += json.dumps(listing(3, entry("s3", 5, 2), full=False), indent=indent).encode() + b"\n"
        for at in range(0, len(text), 5):
            seen.peer.peers[0].write(chunk(text[at : at + 5]))
        await until(lambda: seen.watch.newest_version == 3)
        assert set(seen.standings()) == {"s0", odd, "s2", "s3"} and len(seen.peer.peers) == 1

    on_sockets(script)


def test_an_object_without_end_is_bounded() -> None:
    objects = JsonObjectStream()
    with pytest.raises(HttpError, match="a list of more than"):
        for _ in range(60):
            objects.feed(b'{"a": [\n' + b" " * 100_000 + b"1,\n")
    objects = JsonObjectStream()
    with pytest.raises(HttpError, match="a list of more than"):
        for _ in range(60):
            objects.feed(b"x" * 100_000)


def test_a_damaged_list_leaves_the_last_good_one_and_is_told_once_in_a_while() -> None:
    async def script(seen: Seen) -> None:
        await until(lambda: seen.told)

        def damaged(conn: Any, request: HttpRequest) -> None:
            conn.write(HEAD + chunk(DAMAGED))

        good, seen.peer.handle_request = seen.peer.handle_request, damaged
        seen.peer.peers[0].write(chunk(DAMAGED))
        await until(lambda: len(seen.peer.peers) > 4)
        assert len(seen.told) == 1 and len(seen.said) == 1
        seen.peer.handle_request, seen.peer.node_list = good, listing(2, {"id": 4}, entry("s0", 5, 0, "Terminating"))
        await until(lambda: seen.watch.newest_version == 2)
        assert seen.standings() == {"s0": "draining"}

    on_sockets(script)


def test_a_list_that_goes_back_is_asked_for_whole_and_brings_no_one_back_who_left() -> None:
    """A shelf that a later version told to drain would have been sent to again."""

    async def script(seen: Seen) -> None:
        await until(lambda: seen.told)
        seen.peer.peers[0].send_list(listing(7, entry("s0", 5, 0, "Terminating"), entry("s1", 5, 1), full=False))
        await until(lambda: seen.watch.newest_version == 7)
        seen.peer.node_list = listing(5, entry("s0", 5, 0), entry("s1", 5, 1), entry("s2", 5, 2))
        seen.peer.peers[0].send_list(listing(4, entry("s0", 5, 0), full=False))
        await until(lambda: seen.watch.newest_version == 5)
        assert seen.peer.received_requests[-1][1].target == b"/registry/instances?stream=1"
        assert seen.standings() == {"s0": "draining", "s1": "ready", "s2": "ready"}
        # A new start of it, or a later word, is another matter; and a version that skips is none.
        seen.peer.peers[-1].send_list(listing(6, entry("s0", 5, 0, started=9.0), full=False))
        await until(lambda: seen.watch.newest_version == 6)
        assert seen.standings()["s0"] == "ready"
        seen.peer.peers[-1].send_list(listing(20, entry("s1", 5, 1, "Terminating"), full=False))
        seen.peer.peers[-1].send_list(listing(22, entry("s1", 5, 1), full=False))
        await until(lambda: seen.watch.newest_version == 22)
        assert seen.standings()["s1"] == "ready"

    on_sockets(script)


def test_what_left_is_kept_in_bounds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(departures, "MAX_DEPARTURES", 10)

    async def script(seen: Seen) -> None:
        for n in range(40):
            seen.watch.departures.apply(NodeListUpdate(listing(n, entry(f"g{n}", 5, 0, "Gone"))))
        assert list(seen.watch.departures.by_node) == [f"g{n}" for n in range(30, 40)]

    on_sockets(script)


@pytest.mark.parametrize("when", ["while a connection is made", "while one stands that was never answered"])
def test_discovery_that_moves_in_the_middle_of_a_call(when: str) -> None:
    async def script(seen: Seen) -> None:
        if when == "while a connection is made":
            await until(lambda: seen.watch.connections)
        else:
            await until(lambda: seen.told)
            seen.peer.handle_request = lambda conn, request: None
            seen.peer.peers[0].transport.abort()
            await until(lambda: len(seen.peer.peers) == 2)
        there = ScriptedDiscovery()
        await there.start()
        there.node_list = listing(4, entry("s0", 5, 0, "Terminating"))
        seen.watch.change_address((LOOPBACK, there.port))
        if isinstance(seen.loop, GatedLoop):
            seen.loop.release_event.set()
        await until(lambda: seen.watch.newest_version == 4)
        await until(lambda: len(seen.watch.connections) == 1 and all(c.is_closed for c in seen.peer.peers))

    on_sockets(script, gated=when == "while a connection is made")
