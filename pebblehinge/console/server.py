"""HTTP server of the console: the page, the state as JSON, and server-sent events. All viewers share a snapshot."""

from __future__ import annotations

import asyncio
import hmac
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import web

from pebblehinge.console.view import GatewayView
from pebblehinge.net import parse_address

STATIC_FOLDER = Path(__file__).parent / "static"
REFRESH_INTERVAL_MS = 500.0
"""Interval between two snapshots while viewers are connected."""

VIEWERS_PER_BATCH = 8
"""Viewers that are written to in one iteration of the event loop."""

MAX_VIEWERS = 600
RETRY_AFTER_S = 10
"""Delay after which a rejected viewer may connect again, as `Retry-After` says."""

MAX_UNSENT_BYTES = 64 << 10
"""A viewer with more unsent bytes than this is not sent the next snapshot."""

MAX_MISSED_SNAPSHOTS = 20
"""Consecutive snapshots, ten seconds of them, that a viewer may miss; one that misses more is disconnected."""

BACKLOG = 1024
SHUTDOWN_TIMEOUT_S = 0.5
MAX_NAME_EXCERPT_CHARS = 60
"""Characters of an unknown name that an error message quotes."""

PAGE_HEADERS = {
    "Content-Security-Policy": "default-src 'self'; style-src 'self'; script-src 'self'",
    "X-Content-Type-Options": "nosniff",
    "Cache-Control": "no-cache",
}
STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
_encode = msgspec.json.Encoder().encode


class Console:
    """Console of one gateway, on an address of its own.

    Cost: one snapshot each half second while viewers are connected, and its bytes to each viewer. A viewer that does
    not read is disconnected, and its page reconnects by itself.

    Args:
        gateway: The server of the gateway, which the console only reads.
        address: Address to listen on, as `host:port`.
        token: Token that a viewer has to present; empty if none is required.

    Attributes:
        viewers: The open streams of events, each with the signal that a new snapshot exists.
        snapshot_number: Number of the last snapshot.
        dropped_viewers: Number of viewers that were disconnected as they did not read.
    """

    def __init__(self, gateway: Any, address: str, token: str = "") -> None:
        self.gateway = gateway
        self.address = address
        self.token = token
        self.view = GatewayView(gateway)
        self.viewers: dict[web.StreamResponse, asyncio.Event] = {}
        self.snapshot_number = 0
        self.dropped_viewers = 0
        self._last_event = b""
        self._refresh_task: asyncio.Task[None] | None = None
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Starts to listen, and to make snapshots.

        Raises:
            OSError: The address can't be bound.
            ValueError: The address is invalid.
        """
        app = web.Application()
        app.router.add_get("/", self.serve_page)
        app.router.add_get("/state", self.serve_state)
        app.router.add_get("/events", self.stream_snapshots)
        app.router.add_get("/shelf/{name}", self.serve_storage_node)
        app.router.add_get("/volume/{name}", self.serve_volume)
        app.router.add_get("/why/{name}", self.serve_wait_report)
        app.router.add_static("/static", STATIC_FOLDER)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        host, port = parse_address(self.address)
        await web.TCPSite(self._runner, host, port, backlog=BACKLOG).start()
        self._refresh_task = asyncio.get_running_loop().create_task(self._refresh())

    async def stop(self) -> None:
        """Ends all event streams and stops listening."""
        if self._refresh_task is not None:
            self._refresh_task.cancel()
        for signal in self.viewers.values():
            signal.set()
        if self._runner is not None:
            await self._runner.cleanup()

    async def serve_page(self, request: web.Request) -> web.StreamResponse:
        """Returns the page; raises HTTPUnauthorized without a valid token, as all handlers do."""
        self._authorize(request)
        return web.FileResponse(STATIC_FOLDER / "console.html", headers=PAGE_HEADERS)

    async def serve_state(self, request: web.Request) -> web.Response:
        """Returns a new snapshot."""
        self._authorize(request)
        return _json_response(self.view.snapshot())

    async def serve_storage_node(self, request: web.Request) -> web.Response:
        """Returns the row of one storage node; raises HTTPNotFound if no node has this name."""
        self._authorize(request)
        name = request.match_info["name"]
        rows = self.view.node_rows(self.gateway.clock())
        row = next((row for row in rows if row["name"] == name), None)
        if row is None:
            raise web.HTTPNotFound(text=f"no shelf {name[:MAX_NAME_EXCERPT_CHARS]!r} is known here\n")
        return _json_response(row)

    async def serve_volume(self, request: web.Request) -> web.Response:
        """Returns the row of one volume, or only its quota plan if the volume is not among the recently used ones.

        Raises:
            HTTPNotFound: The settings don't name the volume.
        """
        name = self._volume_name(request)
        row = next((row for row in self.view.volume_rows() if row["name"] == name), None)
        if row is None:
            return _json_response({"name": name, "plan": self.gateway.config.volume[name].plan})
        return _json_response(row)

    async def serve_wait_report(self, request: web.Request) -> web.Response:
        """Returns a text that says where the time of a volume's requests went.

        Raises:
            HTTPNotFound: The settings don't name the volume, or wait accounting is disabled.
        """
        name = self._volume_name(request)
        accounting = self.gateway.core.wait_accounting
        if accounting is None:
            raise web.HTTPNotFound(text="no accounts are kept here: accounts yes in the head's block\n")
        return web.Response(text="\n".join(accounting.report(name)) + "\n")

    async def stream_snapshots(self, request: web.Request) -> web.StreamResponse:
        """Streams snapshots as they are made; some may be skipped, since each one is complete."""
        self._authorize(request)
        if len(self.viewers) >= MAX_VIEWERS:
            text = f"{MAX_VIEWERS} are watching already\n"
            raise web.HTTPServiceUnavailable(text=text, headers={"Retry-After": str(RETRY_AFTER_S)})
        response = web.StreamResponse(headers=STREAM_HEADERS)
        await response.prepare(request)
        signal = asyncio.Event()
        self.viewers[response] = signal
        try:
            await self._write_snapshots(request, signal)
        finally:
            self.viewers.pop(response, None)
        return response

    async def _write_snapshots(self, request: web.Request, signal: asyncio.Event) -> None:
        """Writes a snapshot at each signal, until either end has closed the connection or the console stops."""
        missed_snapshots = 0
        while self._refresh_task is not None and not self._refresh_task.done():
            await signal.wait()
            signal.clear()
            transport = request.transport
            if transport is None or transport.is_closing():
                return
            if not self._last_event:
                continue
            if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:  # a single snapshot of a large fleet exceeds this
                missed_snapshots += 1
                if missed_snapshots > MAX_MISSED_SNAPSHOTS:
                    self.dropped_viewers += 1
                    transport.abort()
                    return
                continue
            missed_snapshots = 0
            transport.write(b"%x\r\n%s\r\n" % (len(self._last_event), self._last_event))

    def _authorize(self, request: web.Request) -> None:
        """Raises HTTPUnauthorized unless the request has the token or none is required."""
        if not self.token:
            return
        sent_token = request.headers.get("Authorization", "").removeprefix("Bearer ") or request.query.get("token", "")
        if not hmac.compare_digest(sent_token.encode(), self.token.encode()):
            raise web.HTTPUnauthorized(text="sign in: Authorization: Bearer TOKEN, or ?token=TOKEN\n")

    def _volume_name(self, request: web.Request) -> str:
        """Returns the volume that an authorized request names; raises HTTPNotFound if the settings don't have it."""
        self._authorize(request)
        name = request.match_info["name"]
        if name not in self.gateway.config.volume:
            raise web.HTTPNotFound(text=f"no volume {name[:MAX_NAME_EXCERPT_CHARS]!r} is known here\n")
        return name

    async def _refresh(self) -> None:
        """Makes a snapshot and signals the viewers once per interval, while there are any."""
        pause_s = REFRESH_INTERVAL_MS / 1000.0 / 2
        while True:
            if self.viewers:
                self.snapshot_number += 1
                self._last_event = b"id: %d\ndata: %s\n\n" % (self.snapshot_number, _encode(self.view.snapshot()))
                await self._signal_viewers(pause_s)
            await asyncio.sleep(pause_s)

    async def _signal_viewers(self, duration_s: float) -> None:
        """Signals the viewers in batches, since writing to all at once would block the event loop, and so requests."""
        signals = list(self.viewers.values())
        for start in range(0, len(signals), VIEWERS_PER_BATCH):
            for signal in signals[start : start + VIEWERS_PER_BATCH]:
                signal.set()
            await asyncio.sleep(duration_s * VIEWERS_PER_BATCH / max(VIEWERS_PER_BATCH, len(signals)))


def _json_response(value: Any) -> web.Response:
    return web.Response(body=_encode(value), content_type="application/json")
