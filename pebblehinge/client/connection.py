"""One client's connection to a gateway."""

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
"""The keepalive interval in milliseconds: the gateways' own, unless their settings say otherwise."""

NO_EXTENT = "-"
"""What barriers and flushes, which concern a volume, name as their extent."""


@dataclass(slots=True)
class _OpenRequest:
    """A request without a result yet; `sent_s` is in seconds of the loop's clock."""

    future: asyncio.Future[Result]
    sent_s: float
    trace: str
    timer: asyncio.TimerHandle


class Client(Peer):
    """Many requests on one connection. Made by `pebblehinge.client.connect`.

    Attributes:
        open_requests: The requests without a result, by their ids.
        handshake: Done when the gateway has accepted the connection; fails with ConnectionError if it did not.
        stopping: Whether the gateway is shutting down: a further request belongs to another one.
        close_reason: Why the connection ended, where that is known.
    """

    ACCEPTED_KINDS = frozenset({Kind.ANSWER, Kind.STOPPING})

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        max_frame_bytes: int,
        max_streams: int,
        stall_ms: float,
        role: str = "client",
        observer: Observer | None = None,
        keepalive_ms: float = KEEPALIVE_MS,
    ) -> None:
        super().__init__(loop, Session(role, name, max_frame_bytes, max_streams, dialed=True), stall_ms, keepalive_ms)
        self.name = name
        self.observer = observer
        self.open_requests: dict[int, _OpenRequest] = {}
        self.handshake: asyncio.Future[None] = loop.create_future()
        self.stopping = False
        self.close_reason = ""
        self._ids = itertools.count(1)
        self._cancelled_ids: OrderedDict[int, None] = OrderedDict()  # an answer may have crossed the CANCEL

    # ---- the connection

    def on_ready(self) -> None:
        """The greeting is over."""
        if not self.handshake.done():
            self.handshake.set_result(None)

    def on_rejection(self, reason: str) -> None:
        """The gateway rejects the connection, or what was sent on it."""
        self.close_reason = reason

    def fail(self, reason: str) -> None:
        """Sends one ERROR frame with the reason, then closes."""
        self.close_reason = reason
        super().fail(reason)

    def on_disconnect(self, exc: Exception | None) -> None:
        """The connection is over: what is open on it is lost."""
        if not self.handshake.done():
            self.handshake.set_exception(ConnectionError(self.close_reason or "the head closed the connection"))
        now_s = self.loop.time()
        for request in list(self.open_requests.values()):
            request.timer.cancel()
            self._end(request, Result(LOST, reason=self.close_reason, duration_ms=(now_s - request.sent_s) * 1000.0))
        self.open_requests.clear()

    def on_stopping(self, reason: str) -> None:
        """The gateway takes nothing new."""
        self.stopping = True

    def on_answer(self, id_: int, status: int, retry_after_ms: float, reason: str, slot: int, data: bytes) -> None:
        """The final answer to a request."""
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
        request_class: str,
        operation: int,
        slot: int,
        units: float,
        timeout_ms: float,
        offset: int = 0,
        length: int = 0,
        data: bytes = b"",
        quota_plan: str | None = None,
        idempotency_key: str | None = None,
        is_retry: bool | None = None,
        trace: str = "",
    ) -> asyncio.Future[Result]:
        """Sends one request.

        Args:
            volume: The volume's name.
            extent: The extent's name, 1 to 500 characters.
            request_class: The request class, as the settings name it.
            operation: The operation, one of those of `pebblehinge.wire.frames`.
            slot: The placement slot that holds the extent, or -1 for a new one.
            units: The request's size in units of the quota.
            timeout_ms: How long the client waits, in milliseconds.
            offset: Where to read or write in the extent, in bytes.
            length: How many bytes.
            data: The bytes to write.
            quota_plan: The quota plan, or None for the volume's.
            idempotency_key: The idempotency key, or None for the trace.
            is_retry: Whether this is a retry, or None if that is not said.
            trace: Names the request in all logs; by default the client's name and a number.

        Returns:
            A future of the result, which never fails. Cancelling it cancels the request.
        """
        future: asyncio.Future[Result] = self.loop.create_future()
        if self.closed or self.failed:
            future.set_result(Result(LOST, reason=self.close_reason or "the connection is closed"))
            return future
        id_ = next(self._ids)
        trace = trace or f"{self.name}-{id_}"
        timer = self.loop.call_later(timeout_ms / 1000.0, self._time_out, id_)
        self.open_requests[id_] = _OpenRequest(future, self.loop.time(), trace, timer)
        future.add_done_callback(lambda result_future: self.cancel(id_) if result_future.cancelled() else None)
        if self.observer is not None:
            self.observer("sent", id=trace)
        values = (extent, slot, units, timeout_ms, is_retry, idempotency_key, operation, offset, length, data)
        self.send(Kind.TAKE, id_, trace, volume, quota_plan, request_class, *values)
        return future

    def read(self, volume: str, extent: str, length: int, **options: Any) -> asyncio.Future[Result]:
        """Reads from an extent; `options` are those of `request`."""
        return self.request(volume, extent, operation=READ, length=length, **options)

    def write(self, volume: str, extent: str, data: bytes, **options: Any) -> asyncio.Future[Result]:
        """Writes to an extent; `options` are those of `request`."""
        return self.request(volume, extent, operation=WRITE, data=data, length=len(data), **options)

    def barrier(self, volume: str, **options: Any) -> asyncio.Future[Result]:
        """Orders writes of a buffered volume; `options` are those of `request`.

        Succeeded, all that was confirmed for the volume before is committed before what is confirmed after.
        """
        return self.request(volume, NO_EXTENT, operation=BARRIER, units=1.0, slot=0, **options)

    def flush_volume(self, volume: str, **options: Any) -> asyncio.Future[Result]:
        """Flushes a buffered volume; `options` are those of `request`.

        Succeeded, all that was confirmed for the volume is at its storage nodes.
        """
        return self.request(volume, NO_EXTENT, operation=FLUSH, units=1.0, slot=0, **options)

    def cancel(self, id_: int) -> None:
        """Cancels a request: the gateway sends no answer to it any more."""
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
            self._end(request, Result(TIMED_OUT, duration_ms=duration_ms))

    def _send_cancel(self, id_: int) -> None:
        self.send(Kind.CANCEL, id_)
        self._cancelled_ids[id_] = None
        if len(self._cancelled_ids) > 2 * self.session.max_streams:
            self._cancelled_ids.popitem(last=False)

    def _end(self, request: _OpenRequest, result: Result) -> None:
        if self.observer is not None:
            duration_ms = round(result.duration_ms, 3)
            self.observer("answer", id=request.trace, final=result.status, stay=result.retry_after_ms, took=duration_ms)
        if not request.future.done():
            request.future.set_result(result)
