"""The link to one storage node: a connection that many attempts share, established when it is needed.

If an attempt has no answer, its outcome depends on what was written: an attempt of which no byte was passed to the
socket never ran (`CONNECT_FAILED`), any other may have run, however the connection ends (`CONNECTION_LOST`).
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from pebblehinge.gateway.dialer import Dialer
from pebblehinge.gateway.framed_request import FramedRequest
from pebblehinge.gateway.node_connection import NodeConnection
from pebblehinge.interface import Outcome
from pebblehinge.settings.schema import LimitsBlock
from pebblehinge.wire import Kind, Session

TIMEOUT_RECHECK_DELAY_S = 0.001
"""The delay after an attempt's deadline within which the event loop can still read an outcome from the socket."""

OUTCOMES_BY_STATUS = (Outcome.SUCCEEDED, Outcome.SERVER_ERROR, Outcome.OVERLOADED)
"""The outcomes of an attempt, by their numbers in OUTCOME frames."""


class AttemptInFlight:
    """An attempt that has no outcome yet.

    Attributes:
        id: Identifies the attempt on the link.
        pending: The request of the attempt.
        number: Number of the attempt among those of its request, from 0.
        deadline_ms: Clock time at which it times out.
        sent_ms: Clock time at which it was passed to the link.
        timer: The timer of its deadline.
        link: The link that sends it.
        timeout_rechecked: Whether its deadline has passed, and `TIMEOUT_RECHECK_DELAY_S` was granted.
    """

    __slots__ = ("id", "pending", "number", "deadline_ms", "sent_ms", "timer", "link", "timeout_rechecked")

    timer: asyncio.TimerHandle

    def __init__(
        self, id_: int, pending: FramedRequest, attempt_number: int, deadline_ms: float, sent_ms: float, link: NodeLink
    ) -> None:
        self.id = id_
        self.pending = pending
        self.number = attempt_number
        self.deadline_ms = deadline_ms
        self.sent_ms = sent_ms
        self.link = link
        self.timeout_rechecked = False


class AttemptEndHandler(Protocol):
    """A callback for the outcome of an attempt, called once for each attempt and never from within `NodeLink.send`."""

    def __call__(
        self, now: float, pending: FramedRequest, number: int, outcome: Outcome, duration_ms: float, data: bytes, /
    ) -> None:
        """Handles the outcome of attempt `number`, `duration_ms` after it was sent; `data` are the bytes read."""


class NodeLink:
    """The link to one storage node at one address.

    Attributes:
        node: Name of the storage node.
        address: Address of the storage node, host:port.
        connection: The connection whose greeting is complete, None for none.
        unsent_attempts: Attempts of which nothing was written yet.
        in_flight: Attempts that may have run, by id.
        late_outcome_count: Number of outcomes received for attempts that had ended, or with an unknown status.
        is_retired: Whether the link gets no new attempts and closes once its last attempt has ended.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        gateway: str,
        node: str,
        address: str,
        limits: LimitsBlock,
        on_attempt_end: AttemptEndHandler,
        record_event: Callable[..., None] | None,
    ) -> None:
        """Creates a link of `gateway` to `node`; `record_event` writes to the event log, None for no events."""
        self.loop = loop
        self.clock = clock
        self.gateway = gateway
        self.node = node
        self.address = address
        self.limits = limits
        self.on_attempt_end = on_attempt_end
        self.record_event = record_event
        self.connection: NodeConnection | None = None
        self.dialer = Dialer(loop, clock, address, limits, self._make_peer, self._on_dial_failure)
        self.unsent_attempts: deque[AttemptInFlight] = deque()
        self.in_flight: dict[int, AttemptInFlight] = {}
        self.last_id = 0
        self.now = 0.0
        self.late_outcome_count = 0
        self.is_retired = False

    # ---- operations

    def send(self, pending: FramedRequest, attempt_number: int, deadline_ms: float, now: float) -> None:
        """Sends an attempt, which times out at `deadline_ms`, or queues it until there is a connection."""
        self.last_id += 1
        new_attempt = AttemptInFlight(self.last_id, pending, attempt_number, deadline_ms, now, self)
        new_attempt.timer = self.loop.call_at(deadline_ms / 1000.0, self._time_out, new_attempt)
        pending.attempt = new_attempt
        if self.connection is not None and not self.connection.write_paused:
            self._write(new_attempt, now)
            return
        self.unsent_attempts.append(new_attempt)
        if self.connection is None:
            self.dialer.connect()

    def cancel_attempt(self, pending: FramedRequest) -> None:
        """Cancels the attempt of a request, also on the storage node; no outcome is reported."""
        cancelled_attempt: AttemptInFlight = pending.attempt
        cancelled_attempt.timer.cancel()
        if self.in_flight.pop(cancelled_attempt.id, None) is not None:
            if self.connection is not None:
                self.connection.send(Kind.RECALL, cancelled_attempt.id)
        elif cancelled_attempt in self.unsent_attempts:
            self.unsent_attempts.remove(cancelled_attempt)

    def retire(self) -> None:
        """Closes the link once its last attempt has ended, since the storage node has another address or is gone."""
        self.is_retired = True
        self._close_if_idle()

    def close(self) -> None:
        """Closes the connection and cancels a dial in progress."""
        self.is_retired = True
        self.dialer.close()
        if self.connection is not None:
            self.connection.close()

    def write_unsent(self) -> None:
        """Writes the unsent attempts until the storage node stops reading."""
        now = self.clock()
        while self.unsent_attempts and self.connection is not None and not self.connection.write_paused:
            self._write(self.unsent_attempts.popleft(), now)

    # ---- called by the connection

    def on_connected(self, connection: NodeConnection) -> None:
        """Adopts a connection whose greeting is complete, and writes the unsent attempts."""
        if self.dialer.dial_task is None:  # the dial has failed in the meantime
            connection.abort()
            return
        self.dialer.on_connected()
        self.connection = connection
        self.write_unsent()

    def on_connection_lost(self, connection: NodeConnection) -> None:
        """Ends the attempts in flight, which may have run, and reconnects if there are unsent attempts."""
        now = self.clock()
        if self.dialer.dial_task is not None and self.connection is None:
            self.dialer.fail("the connection broke before the greeting")
            return
        if connection is not self.connection:
            return
        self.connection = None
        lost_attempts = list(self.in_flight.values())
        self.in_flight.clear()
        for attempt in lost_attempts:
            self._end(attempt, now, Outcome.CONNECTION_LOST)
        if self.unsent_attempts:
            self.dialer.connect()

    def on_outcome(self, attempt_id: int, status: int, reason: str, data: bytes) -> None:
        """Ends an attempt with its outcome; only counts the outcome of an attempt that has ended already."""
        attempt = self.in_flight.pop(attempt_id, None)
        if attempt is None or status >= len(OUTCOMES_BY_STATUS):
            self.late_outcome_count += 1
            if attempt is not None:
                self._end(attempt, self.now, Outcome.SERVER_ERROR)
            return
        self._end(attempt, self.now, OUTCOMES_BY_STATUS[status], data)

    def _make_peer(self) -> NodeConnection:
        return NodeConnection(self, Session("head", self.gateway, self.limits.frame, self.limits.streams, dialed=True))

    def _on_dial_failure(self) -> None:
        now = self.clock()
        failed_attempts = list(self.unsent_attempts)
        self.unsent_attempts.clear()
        for attempt in failed_attempts:
            self._end(attempt, now, Outcome.CONNECT_FAILED)

    def _write(self, attempt: AttemptInFlight, now: float) -> None:
        pending, connection = attempt.pending, self.connection
        assert connection is not None
        self.in_flight[attempt.id] = attempt
        connection.send(
            Kind.TRIP,
            attempt.id,
            pending.trace_id,
            attempt.number,
            f"{pending.volume}/{pending.extent}",
            pending.op,
            pending.offset,
            pending.length,
            pending.units,
            pending.idempotency_key,
            attempt.deadline_ms - now,
            pending.data,
        )
        if self.record_event is not None:
            deadline_ms = round(attempt.deadline_ms, 3)
            self.record_event(now, "trip", id=pending.trace_id, n=attempt.number, shelf=self.node, until=deadline_ms)

    def _close_if_idle(self) -> None:
        if self.is_retired and not self.in_flight and not self.unsent_attempts and self.connection is not None:
            self.connection.close()

    def _time_out(self, attempt: AttemptInFlight) -> None:
        if not attempt.timeout_rechecked:
            # A delayed event loop runs its timers before it reads, so the outcome may be unread in the socket.
            attempt.timeout_rechecked = True
            attempt.timer = self.loop.call_later(TIMEOUT_RECHECK_DELAY_S, self._time_out, attempt)
            return
        now = self.clock()
        if self.in_flight.pop(attempt.id, None) is not None:
            if self.connection is not None:
                self.connection.send(Kind.RECALL, attempt.id)
                self.connection.probe()
            self._end(attempt, now, Outcome.TIMED_OUT)
        elif attempt in self.unsent_attempts:
            self.unsent_attempts.remove(attempt)
            self._end(attempt, now, Outcome.CONNECT_FAILED)

    def _end(self, attempt: AttemptInFlight, now: float, outcome: Outcome, data: bytes = b"") -> None:
        attempt.timer.cancel()
        pending = attempt.pending
        if self.record_event is not None:
            self.record_event(
                now, "outcome", id=pending.trace_id, n=attempt.number, shelf=self.node, what=outcome.value
            )
        self.on_attempt_end(now, pending, attempt.number, outcome, now - attempt.sent_ms, data)
        self._close_if_idle()
