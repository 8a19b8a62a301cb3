"""Connection of a client to a gateway."""

from __future__ import annotations

import asyncio
import itertools
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from pebblehinge.client.observer import Observer
from pebblehinge.client.result import FINAL_STATUSES, LOST, TIMED_OUT, Result
from pebblehinge.net import Peer
from pebblehinge.wire import Kind, Session
from pebblehinge.wire.frames import BARRIER, FLUSH, READ, WRITE

KEEPALIVE_MS = 5_000.0
"""Keepalive interval, which is also the default of the gateways' settings."""

NO_EXTENT = "-"
"""Extent name in barriers and flushes, which concern a whole volume."""


@dataclass(slots=True)
class _OpenRequest:
    """A request without a result yet; `sent_s` is when it was sent, by the loop's clock in seconds."""

    future: asyncio.Future[Result]
    sent_s: float
    trace: str
    timer: asyncio.TimerHandle


class Client(Peer):
    """Connection that carries many requests at once.

    It is opened by `pebblehinge.client.connect`, whose docstring explains the constructor's parameters.

    Attributes:
        open_requests: The requests without a result, by their ids.
        handshake: Completes when the gateway has accepted the connection; fails with ConnectionError if it did not.
        stopping: Whether the gateway is shutting down, so that further requests should go to another one.
        close_reason: Why the connection ended, empty if that is unknown.
    """

    ACCEPTED_KINDS = frozenset({Kind.ANSWER, Kind.STOPPING})

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        limit: int,
        streams: int,
        stall_ms: float,
        role: str = "client",
        observer: Observer | None = None,
        keepalive_ms: float = KEEPALIVE_MS,
    ) -> None:
        super().__init__(loop, Session(role, name, limit, streams, dialed=True), stall_ms, keepalive_ms)
        self.name = name
        self.observer = observer
        self.open_requests: dict[int, _OpenRequest] = {}
        self.handshake: asyncio.Future[None] = loop.create_future()
        self.stopping = False
        self.close_reason = ""
        self._ids = itertools.count(1)
        self._cancelled_ids: OrderedDict[int, None] = OrderedDict()  # the answer may cross the CANCEL

    # ---- the connection

    def on_ready(self) -> None:
        """Completes the handshake."""
        if not self.handshake.done():
            self.handshake.set_result(None)

    def on_rejection(self, reason: str) -> None:
        """Records why the gateway rejects the connection or a frame."""
        self.close_reason = reason

    def fail(self, reason: str) -> None:
        """Sends an ERROR frame with the reason, then closes the connection."""
        self.close_reason = reason
        super().fail(reason)

    def on_disconnect(self, exc: Exception | None) -> None:
        """Ends all open requests as `LOST`, and fails a handshake that is not complete."""
        if not self.handshake.done():
            self.handshake.set_exception(ConnectionError(self.close_reason or "the head closed the connection"))
        now_s = self.loop.time()
        for request in list(self.open_requests.values()):
            request.timer.cancel()
            self._end(request, Result(LOST, reason=self.close_reason, took_ms=(now_s - request.sent_s) * 1000.0))
        self.open_requests.clear()

    def on_stopping(self, reason: str) -> None:
        """Records that the gateway accepts no further requests."""
        self.stopping = True

    def on_answer(self, id_: int, status: int, retry_after_ms: float, reason: str, slot: int, data: bytes) -> None:
        """Ends the request that a final answer belongs to."""
        request = self.open_requests.pop(id_, None)
        now_s = self.loop.time()
        if request is None:
            self._ignore_answer(id_, status)
            return
        request.timer.cancel()
        duration_ms = (now_s - request.sent_s) * 1000.0
        self._end(request, Result(FINAL_STATUSES[status], retry_after_ms, reason, slot, data, duration_ms))

    def _ignore_answer(self, id_: int, status: int) -> None:
        was_cancelled = id_ in self._cancelled_ids
        self._cancelled_ids.pop(id_, None)
        if self.observer is not None and not was_cancelled:
            self.observer("extra", id=str(id_), final=FINAL_STATUSES[status])

    # ---- requests

    def request(
        self,
        volume: str,
        extent: str,
        *,
        profile: str,
        op: int,
        slot: int,
        units: float,
        patience_ms: float,
        offset: int = 0,
        length: int = 0,
        data: bytes = b"",
        plan: str | None = None,
        label: str | None = None,
        again: bool | None = None,
        trace: str = "",
    ) -> asyncio.Future[Result]:
        """Sends one request.

        Args:
            volume: The volume's name.
            extent: The extent's name, 1 to 500 characters.
            profile: The request class, as the settings name it.
            op: One of the operations in `pebblehinge.wire.frames`.
            slot: The placement slot that stores the extent, or -1 for a new extent.
            units: The request's size in units of the quota.
            patience_ms: How long the client waits for the answer, in milliseconds.
            offset: Offset in the extent at which to read or write, in bytes.
            length: Number of bytes to read or write.
            data: The bytes to write.
            plan: The quota plan, or None for that of the volume.
            label: The idempotency key, or None to use the trace.
            again: Whether this is a retry, or None if that is unknown.
            trace: Id of the request in all logs; by default the client's name and a number.

        Returns:
            A future of the result, which never fails. Cancelling it cancels the request.
        """
        future: asyncio.Future[Result] = self.loop.create_future()
        if self.closed or self.failed:
            future.set_result(Result(LOST, reason=self.close_reason or "the connection is closed"))
            return future
        id_ = next(self._ids)
        trace = trace or f"{self.name}-{id_}"
        timer = self.loop.call_later(patience_ms / 1000.0, self._time_out, id_)
        self.open_requests[id_] = _OpenRequest(future, self.loop.time(), trace, timer)
        future.add_done_callback(lambda result_future: self.cancel(id_) if result_future.cancelled() else None)
        if self.observer is not None:
            self.observer("sent", id=trace)
        values = (extent, slot, units, patience_ms, again, label, op, offset, length, data)
        self.send(Kind.TAKE, id_, trace, volume, plan, profile, *values)
        return future

    def read(self, volume: str, extent: str, length: int, **options: Any) -> asyncio.Future[Result]:
        """Reads from an extent; `options` are those of `request`."""
        return self.request(volume, extent, op=READ, length=length, **options)

    def write(self, volume: str, extent: str, data: bytes, **options: Any) -> asyncio.Future[Result]:
        """Writes to an extent; `options` are those of `request`."""
        return self.request(volume, extent, op=WRITE, data=data, length=len(data), **options)

    def barrier(self, volume: str, **options: Any) -> asyncio.Future[Result]:
        """Orders writes of a buffered volume; `options` are those of `request`.

        If it succeeds, all writes of the volume that were confirmed before it are committed before those confirmed
        after it.
        """
        return self.request(volume, NO_EXTENT, op=BARRIER, units=1.0, slot=0, **options)

    def flush_volume(self, volume: str, **options: Any) -> asyncio.Future[Result]:
        """Flushes a buffered volume; `options` are those of `request`.

        If it succeeds, the storage nodes have all writes of the volume that were confirmed before it.
        """
        return self.request(volume, NO_EXTENT, op=FLUSH, units=1.0, slot=0, **options)

    def cancel(self, id_: int) -> None:
        """Cancels a request, so that the gateway sends no answer to it; does nothing if it has ended."""
        request = self.open_requests.pop(id_, None)
        if request is not None:
            request.timer.cancel()
            if self.observer is not None:
                self.observer("left", id=request.trace)
            self._send_cancel(id_)

    def _time_out(self, id_: int) -> None:
        request = self.open_requests.pop(id_, None)
        if request is not None:
            self._send_cancel(id_)
            duration_ms = (self.loop.time() - request.sent_s) * 1000.0
            self._end(request, Result(TIMED_OUT, took_ms=duration_ms))

    def _send_cancel(self, id_: int) -> None:
        self.send(Kind.CANCEL, id_)
        self._cancelled_ids[id_] = None
        if len(self._cancelled_ids) > 2 * self.session.max_streams:
            self._cancelled_ids.popitem(last=False)

    def _end(self, request: _OpenRequest, result: Result) -> None:
        if self.observer is not None:
            duration_ms = round(result.took_ms, 3)
            self.observer("answer", id=request.trace, final=result.final, stay=result.stay_ms, took=duration_ms)
        if not request.future.done():
            request.future.set_result(result)
