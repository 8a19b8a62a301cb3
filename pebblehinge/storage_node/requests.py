"""Execution of attempts by a storage node: they pass the machine, take effect on the contents, and are answered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pebblehinge.event_log import EventLog, NullEventLog
from pebblehinge.storage_node.attempt import Attempt, AttemptStatus
from pebblehinge.storage_node.effects import EffectApplier
from pebblehinge.storage_node.job import Job
from pebblehinge.storage_node.machine import NEVER_MS
from pebblehinge.storage_node.simulation import Simulation
from pebblehinge.wire.frames import APPEND, APPEND_RESULT, WRITE

UNSEEN_RESET_SHARE = 0.5
"""Share of the resets that occur before the attempt is seen; the others occur before its response."""

APPLIED_ERROR_SHARE = 0.5
"""Share of the errors that occur after the effect, so that no gateway may assume that nothing was applied."""

TIMER_MARGIN_S = 0.0005
"""Delay of the timer after the machine's next event, so that the event is due when the timer fires."""


class RequestHandler:
    """Handler that executes the attempts of all connections.

    Args:
        loop: The event loop, which makes the timers.
        clock: Returns the current time in milliseconds, by the loop's clock.
        simulation: The machine, its contents and faults.
        events: The event log.
        on_crash: Called with the current time when the machine has crashed.

    Attributes:
        now_ms: The current time in milliseconds, read once for all frames that are received together.
        effects: The component that applies writes and appends to the contents.
        is_draining: Whether all attempts are rejected, since the storage node is draining.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        simulation: Simulation,
        events: EventLog | NullEventLog,
        on_crash: Callable[[float], None],
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.machine = simulation.machine
        self.contents = simulation.contents
        self.network = simulation.network
        self.rng = simulation.rng
        self.effects = EffectApplier(simulation.contents, events, simulation.key_window_ms)
        self.events = events
        self.now_ms = self.machine.now_ms
        self.is_draining = False
        self._on_crash = on_crash
        self._is_closed = False
        self._crash_reported = False
        self._start_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = NEVER_MS

    def read_clock(self) -> float:
        """Updates `now_ms` from the clock, and returns it."""
        self.now_ms = self.clock()
        return self.now_ms

    def close(self) -> None:
        """Stops the timer; no further jobs are started."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()

    # ---- attempts

    def accept(self, attempt: Attempt, units: float, remaining_ms: float) -> None:
        """Accepts or rejects an attempt.

        Args:
            attempt: The attempt.
            units: The size of its request, in units of the quota.
            remaining_ms: Time until its deadline, after which it is not started.
        """
        now_ms = self.now_ms
        self.complete_jobs(self.machine.advance(now_ms))
        is_reset = self.network.should_inject(self.network.reset_probability)
        if is_reset and self.network.rng.random() < UNSEEN_RESET_SHARE:
            gateway = attempt.connection.gateway
            self.events.note(now_ms, "reset", id=attempt.request_id, n=attempt.attempt_index, head=gateway, unseen=True)
            attempt.connection.abort()
            return
        if self._draw_error():
            self._respond_with_error(attempt, units)
            return
        job = self._create_job(attempt, units, now_ms + remaining_ms)
        is_accepted = not self.is_draining and self.machine.submit(now_ms, job)
        self._record_received(attempt, units, job.work_ms, is_full=not is_accepted)
        if self.machine.has_crashed and not self._crash_reported:
            self._crash_reported = True
            self._on_crash(now_ms)
            return
        if not is_accepted:
            reason = "draining" if self.is_draining else "full"
            attempt.connection.send_outcome(attempt.number, AttemptStatus.OVERLOADED, reason, b"")
            return
        attempt.connection.attempts[attempt.number] = attempt
        if is_reset:  # the attempt is executed, but its response can't be sent
            attempt.connection.abort()
        if not self._start_scheduled:
            self._start_scheduled = True
            self.loop.call_soon(self._start_jobs)

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an accepted attempt, which is dropped if it is queued, and continues if it has started."""
        job = attempt.job
        assert job is not None, "an accepted attempt has a job"
        job.is_cancelled = True
        if not job.has_started:
            attempt.connection.attempts.pop(attempt.number, None)
        self.events.note(self.now_ms, "recalled", id=attempt.request_id, n=attempt.attempt_index, began=job.has_started)

    def complete_jobs(self, jobs: list[Job[Attempt]]) -> None:
        """Applies and answers the attempts of jobs that have ended."""
        for job in jobs:
            self.complete(job.owner)

    def _draw_error(self) -> bool:
        probability = self.machine.faults.error_share or self.machine.kind.errors
        return bool(probability) and self.rng.random() < probability

    def _respond_with_error(self, attempt: Attempt, units: float) -> None:
        """Answers with an error immediately, in some cases after the effect."""
        self._record_received(attempt, units, 0.0, is_full=False)
        if self.rng.random() < APPLIED_ERROR_SHARE:
            self.effects.apply(attempt, self.now_ms)
        self.respond(attempt, AttemptStatus.SERVER_ERROR, "failed", b"")

    def _create_job(self, attempt: Attempt, units: float, deadline_ms: float) -> Job[Attempt]:
        is_write = attempt.operation in (WRITE, APPEND)
        is_duplicate = self.effects.is_duplicate(attempt, self.now_ms)
        job = Job(attempt, units, is_write, attempt.extent, attempt.attempt_index, deadline_ms, is_duplicate)
        attempt.job = job
        return job

    def _record_received(self, attempt: Attempt, units: float, work_ms: float, *, is_full: bool) -> None:
        self.events.note(
            self.now_ms,
            "got",
            id=attempt.request_id,
            n=attempt.attempt_index,
            head=attempt.connection.gateway,
            x=attempt.extent,
            u=units,
            w=round(work_ms, 3),
            op=attempt.operation,
            full=is_full,
            label=attempt.key,
            cold=self.machine.warm_up_fraction(self.now_ms) < 1.0,
        )

    # ---- effects and responses

    def complete(self, attempt: Attempt) -> None:
        """Applies and answers an attempt whose job has ended."""
        data = b""
        if attempt.operation == WRITE:
            self.effects.apply(attempt, self.now_ms)
        elif attempt.operation == APPEND:
            is_appended = self.effects.apply(attempt, self.now_ms)
            data = APPEND_RESULT.pack(is_appended, self.contents.length(attempt.extent))
        else:
            data = self.contents.read(attempt.extent, attempt.offset, attempt.length)
            self.events.note(self.now_ms, "read", id=attempt.request_id, n=attempt.attempt_index)
        self.respond(attempt, AttemptStatus.SUCCEEDED, "", data)

    def respond(self, attempt: Attempt, status: AttemptStatus, reason: str, data: bytes) -> None:
        """Answers an attempt, unless the response is lost; `NodeConnection.send_outcome` describes the arguments."""
        attempt.connection.attempts.pop(attempt.number, None)
        if self.network.should_inject(self.network.response_loss_probability):
            self.events.note(self.now_ms, "lost", id=attempt.request_id, n=attempt.attempt_index)
            return
        self.events.note(self.now_ms, "said", id=attempt.request_id, n=attempt.attempt_index, status=status.value)
        attempt.connection.send_outcome(attempt.number, status, reason, data)

    # ---- time

    def _start_jobs(self) -> None:
        """Starts jobs after all frames that were received together are handled.

        An attempt that was received together with its cancellation, as happens after the process was suspended, must
        not be executed.
        """
        self._start_scheduled = False
        if not self._is_closed:
            self.machine.start_queued(self.now_ms)
            self.set_timer()

    def set_timer(self) -> None:
        """Sets the timer to the machine's next event, unless it is set to an earlier time."""
        event_ms = self.machine.next_event_ms()
        if event_ms >= self._timer_due_ms and self._timer is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_due_ms = event_ms
        if event_ms < NEVER_MS:
            self._timer = self.loop.call_at(event_ms / 1000.0 + TIMER_MARGIN_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._timer_due_ms = NEVER_MS
        self.complete_jobs(self.machine.advance(self.read_clock()))
        self.set_timer()
