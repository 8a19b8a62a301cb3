"""The console's HTTP: a page, its state as JSON, server-sent events. Bounded: so many viewers, one shared snapshot."""

from __future__ import annotations

import asyncio
import hmac
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import web

from pebblehinge.console.view import View
from pebblehinge.net import parse_address

STATIC = Path(__file__).parent / "static"
EVERY_MS = 500.0
TOGETHER = 8  # viewers that are written to in one turn of the loop
MOST_VIEWERS = 600
BEHIND = 64 << 10  # unsent bytes at which a viewer misses a look ...
MISSED = 20  # ... and how many it may miss in a row, which is ten seconds, before it is dropped
_encode = msgspec.json.Encoder().encode


class Console:
    """Serves one head's console on an address of its own. What it costs: one snapshot each half second while anybody
    watches, and its bytes to each; a viewer that does not read is dropped, and the page comes again by itself."""

    def __init__(self, head: Any, address: str, token: str = "") -> None:
        self.head, self.address, self.token = head, address, token
        self.view = View(head)
        self.viewers: dict[web.StreamResponse, asyncio.Event] = {}
        self.last = b""
        self.number = 0
        self.dropped = 0
        self.task: asyncio.Task[None] | None = None
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        app = web.Application()
        app.router.add_get("/", self.page)
        app.router.add_get("/state", self.state)
        app.router.add_get("/events", self.events)
        app.router.add_get("/shelf/{name}", self.shelf)
        app.router.add_get("/volume/{name}", self.volume)
        app.router.add_get("/why/{name}", self.why)
        app.router.add_static("/static", STATIC)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
        await self.runner.setup()
        host, port = parse_address(self.address)
        await web.TCPSite(self.runner, host, port, backlog=1024).start()
        self.task = asyncio.get_running_loop().create_task(self._look())

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        for changed in self.viewers.values():
            changed.set()
        if self.runner is not None:
            await self.runner.cleanup()

    def _allowed(self, request: web.Request) -> None:
        if not self.token:
            return
        given = request.headers.get("Authorization", "").removeprefix("Bearer ") or request.query.get("token", "")
        if not hmac.compare_digest(given.encode(), self.token.encode()):
            raise web.HTTPUnauthorized(text="sign in: Authorization: Bearer TOKEN, or ?token=TOKEN\n")

    def _volume(self, request: web.Request) -> str:
        """The volume that is asked for, by one who may ask."""
        self._allowed(request)
        name = request.match_info["name"]
        if name not in self.head.config.volume:
            raise web.HTTPNotFound(text=f"no volume {name[:60]!r} is known here\n")
        return name

    # ---- one look for all

    async def _look(self) -> None:
        while True:
            if self.viewers:
                self.number += 1
                self.last = b"id: %d\ndata: %s\n\n" % (self.number, _encode(self.view.snapshot()))
                # A few at a time: writing to all at once would hold the loop, and with it accesses, for too long.
                waiting = list(self.viewers.values())
                for at in range(0, len(waiting), TOGETHER):
                    for changed in waiting[at : at + TOGETHER]:
                        changed.set()
                    await asyncio.sleep(EVERY_MS / 1000.0 / 2 * TOGETHER / max(TOGETHER, len(waiting)))
            await asyncio.sleep(EVERY_MS / 1000.0 / 2)

    # ---- pages

    async def page(self, request: web.Request) -> web.StreamResponse:
        self._allowed(request)
        return web.FileResponse(
            STATIC / "console.html",
            headers={
                "Content-Security-Policy": "default-src 'self'; style-src 'self'; script-src 'self'",
                "X-Content-Type-Options": "nosniff",
                "Cache-Control": "no-cache",
            },
        )

    async def state(self, request: web.Request) -> web.Response:
        self._allowed(request)
        return web.Response(body=_encode(self.view.snapshot()), content_type="application/json")

    async def shelf(self, request: web.Request) -> web.Response:
        self._allowed(request)
        name = request.match_info["name"]
        row = next((r for r in self.view.shelfs(self.head.clock()) if r["name"] == name), None)
        if row is None:
            raise web.HTTPNotFound(text=f"no shelf {name[:60]!r} is known here\n")
        return web.Response(body=_encode(row), content_type="application/json")

    async def volume(self, request: web.Request) -> web.Response:
        name = self._volume(request)
        block = self.head.config.volume[name]
        row = next((r for r in self.view.volumes() if r["name"] == name), {"name": name, "plan": block.plan})
        return web.Response(body=_encode(row), content_type="application/json")

    async def why(self, request: web.Request) -> web.Response:
        """Where a volume's time went, in words."""
        name = self._volume(request)
        account = self.head.core.wait_accounting
        if account is None:
            raise web.HTTPNotFound(text="no accounts are kept here: accounts yes in the head's block\n")
        return web.Response(text="\n".join(account.report(name)) + "\n")

    async def events(self, request: web.Request) -> web.StreamResponse:
        """Snapshots as they are made. One that is missed is missed: each holds all."""
        self._allowed(request)
        if len(self.viewers) >= MOST_VIEWERS:
            text = f"{MOST_VIEWERS} are watching already\n"
            raise web.HTTPServiceUnavailable(text=text, headers={"Retry-After": "10"})
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream", "Cache-Control": "no-cache"})
        await response.prepare(request)
        changed, missed = asyncio.Event(), 0
        self.viewers[response] = changed
        try:
            while self.task is not None and not self.task.done():
                await changed.wait()
                changed.clear()
                transport = request.transport
                if transport is None or transport.is_closing() or not self.last:
                    if transport is None or transport.is_closing():
                        break
                    continue
                if transport.get_write_buffer_size() > BEHIND:
                    missed += 1  # each look holds all: at 2,048 shelfs one alone is three times BEHIND
                    if missed > MISSED:
                        self.dropped += 1
                        transport.abort()
                        break
                    continue
                missed = 0
                transport.write(b"%x\r\n%s\r\n" % (len(self.last), self.last))
        finally:
            self.viewers.pop(response, None)
        return response
