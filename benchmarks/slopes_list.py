"""The node list and a shelf: what connections from heads, and frames to them, cost."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import uvloop
from slopes import Child, Point, on_core_ms, point, resident_kib
from slopes_framed import HOST, REST_S, list_of, settings, until_up, whole

from pebblehinge.client import connect
from pebblehinge.net import Peer, parse_address
from pebblehinge.settings.load import loads
from pebblehinge.wire import Kind, Session


class Watcher(Peer):
    """A head as the list sees it."""

    ACCEPTED_KINDS = frozenset({Kind.LIST})

    def __init__(self, loop: Any, name: str) -> None:
        super().__init__(loop, Session("head", name, 1 << 20, 512, dialed=True), 10_000.0)
        self.up, self.lists, self.bytes = loop.create_future(), 0, 0

    def on_ready(self) -> None:
        self.up.set_result(None)

    def data_received(self, data: bytes) -> None:
        self.bytes += len(data)
        super().data_received(data)

    def on_list(self, token: int, kind: str, told: list[Any]) -> None:
        self.lists += 1


def serve_list(rows: int) -> None:
    """The child of `watchers`: prints a line, then a shelf is called gone and back for each line that it reads."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        server = await list_of(loop, loads(settings(10)), rows)
        print("ready", flush=True)
        calls = 0
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while await reader.readline():
            calls += 1
            server.control("list-wrong", {"shelf": "shelf-1", "off": int(calls % 2 == 0)})

    uvloop.run(main())


def watchers(small: bool) -> list[Point]:
    """The node list's process: heads that watch 1,500 rows, all of them told the whole list, and told of a change."""

    async def script(folder: str) -> list[Point]:
        loop, found, rows = asyncio.get_running_loop(), [], 1500
        host, port = parse_address(f"{HOST}:7100")
        for count in (50, 100) if small else (50, 100, 200, 400, 910):
            here = str(Path(__file__).resolve().parent)
            code = f"import sys; sys.path.insert(0, {here!r}); import slopes_framed; slopes_framed.HOST = {HOST!r}"
            with Child(
                "-c", f"{code}; import slopes_list; slopes_list.serve_list({rows})", said="ready", stdin=True
            ) as child:
                first = resident_kib(child.pid)
                conns = [Watcher(loop, f"h{n}") for n in range(count)]
                for conn in conns:
                    await loop.create_connection(lambda c=conn: c, host, port)
                await asyncio.gather(*(c.up for c in conns))
                await asyncio.sleep(0.3)
                held, before = resident_kib(child.pid), on_core_ms(child.pid)
                for conn in conns:
                    conn.bytes = 0
                    conn.send(Kind.WATCH, 1)
                while any(not c.lists for c in conns):
                    await asyncio.sleep(0.05)
                whole_ms, whole_bytes = on_core_ms(child.pid) - before, sum(c.bytes for c in conns)
                peak = resident_kib(child.pid)
                for conn in conns:
                    conn.bytes = conn.lists = 0
                before = on_core_ms(child.pid)
                for n in range(10):
                    child.say("again")
                    while any(c.lists <= n for c in conns):
                        await asyncio.sleep(0.01)
                change_ms, change_bytes = (on_core_ms(child.pid) - before) / 10, sum(c.bytes for c in conns) / 10
                for conn in conns:
                    conn.abort()
            found.append(
                point(
                    {"heads": count, "rows": rows},
                    resident_kib=held,
                    grown_kib=held - first,
                    resident_after_kib=peak,
                    whole_ms=whole_ms,
                    whole_bytes=whole_bytes,
                    change_ms=change_ms,
                    change_bytes=change_bytes,
                )
            )
            await asyncio.sleep(0.1)
        return found

    return whole(script)


def shelf(small: bool) -> list[Point]:
    """The stand-in shelf: idle connections from heads."""

    async def script(folder: str) -> list[Point]:
        found, path = [], Path(folder) / "shelf.conf"
        path.write_text(settings())
        listing = await list_of(asyncio.get_running_loop(), loads(settings(10)), 0)
        for count in (50, 100) if small else (50, 100, 200, 400, 910):
            with Child("-m", "pebblehinge", "shelf", str(path), "--name", "s1") as child:
                await until_up(f"{HOST}:7200")
                await asyncio.sleep(0.7)
                first = resident_kib(child.pid)
                conns = [await connect(f"{HOST}:7200", name=f"h{n}", role="head") for n in range(count)]
                held, before = resident_kib(child.pid), on_core_ms(child.pid)
                await asyncio.sleep(REST_S)
                rest = (on_core_ms(child.pid) - before) / REST_S
                still = sum(not c.closed for c in conns)
                for conn in conns:
                    conn.abort()
            found.append(
                point({"heads": count}, resident_kib=held, grown_kib=held - first, rest_ms_a_s=rest, still_open=still)
            )
        listing.stop()
        return found

    return whole(script)


PARTS = {
    "list-watchers": (watchers, "Stand-in node list in a process of its own; all heads here."),
    "shelf-connections": (shelf, "Stand-in shelf; connections of the client library in the role of heads."),
}
