"""Between sockets and the decision module: keeps what the module need not know, and decides nothing.

No I/O and no clock: calls come in with the time, what is to be done goes out through `Doing`. An attempt's outcome
is told as it was; the final answer of an succeeded request is sent here, every other one comes from the module.
What may come in at all is the front's to say: it admits a request, then has it taken here.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Any, Protocol

from pebblehinge.decide import Request, Scheduler
from pebblehinge.interface import Changes, Entry, Final, ListCall, ListKind, Outcome, Settings

if TYPE_CHECKING:
    from pebblehinge.wait_accounting import WaitAccounting

SUCCEEDED, REJECTED, FAILED = 0, 1, 2  # the final answers as the wire numbers them
FINALS = {Final.REJECTED: REJECTED, Final.FAILED: FAILED}


class PendingRequest:
    """One request that this head took. A front adds what its attempts need."""

    __slots__ = (
        "key",
        "conn",
        "id",
        "request",
        "volume",
        "units",
        "data",
        "came_ms",
        "answered",
        "attempt",
        "attempts",
        "shelf",
        "sent_ms",
        "begin_by_ms",
        "attempt_ms",
    )

    def __init__(self) -> None:
        self.key, self.conn, self.volume, self.units, self.data, self.came_ms = 0, None, "", 0.0, b"", 0.0
        self.request: Request | None = None
        self.answered = False
        self.attempt: Any = None  # what the link keeps of the attempt that is out
        self.attempts = 0
        self.shelf, self.sent_ms, self.attempt_ms = "", 0.0, 0.0
        self.begin_by_ms = math.inf  # the attempt that leaves may begin no later


class Effects(Protocol):
    """What the core has done for it."""

    def send_attempt(self, pending: PendingRequest, shelf: str, attempt: int, until_ms: float) -> None: ...
    def drop_attempt(self, pending: PendingRequest) -> None: ...
    def answer(self, pending: PendingRequest, final: int, stay_ms: float, reason: str, data: bytes) -> None: ...
    def wake_at(self, at_ms: float) -> None: ...
    def call_list(self, call: ListCall) -> None: ...


class RequestTable:
    """One running head's books."""

    def __init__(
        self, settings: Settings, seed: int, now: float, doing: Effects, account: WaitAccounting | None = None
    ) -> None:
        self.doing, self.account = doing, account
        self.module = Scheduler(settings, seed, now)
        self.pending: dict[int, PendingRequest] = {}  # all that may still get events, by key
        self.keys = 0
        self.bytes = 0
        self.open = 0  # taken and not yet answered
        self.stopping = False
        self.counts = {"taken": 0, "honoured": 0, "pushed back": 0, "terminated": 0, "left": 0, "refused": 0}
        self.outcomes = {outcome: 0 for outcome in Outcome}
        self.reasons: dict[str, int] = {}  # why requests were not succeeded, by the module's own branches
        self.retries = self.wakes = 0
        self.now = now

    def start(self, now: float) -> None:
        self._carry_out(self.module.start(now), now)

    # ---- from clients

    def accept(
        self,
        now: float,
        pending: PendingRequest,
        extent: str | None,
        request_class: str,
        quota_plan: str,
        set_size: int,
        slot: int,
        deadline_ms: float,
        again: bool | None,
    ) -> None:
        """A request that its front has admitted; volume, units and data stand in it."""
        self.keys += 1
        pending.key, pending.came_ms = self.keys, now
        self.pending[pending.key] = pending
        self.open += 1
        self.bytes += len(pending.data)
        pending.request, changes = self.module.take(
            now,
            pending.key,
            extent,
            request_class,
            quota_plan,
            pending.volume,
            set_size,
            slot,
            pending.units,
            deadline_ms,
            again,
        )
        # Before what the call changed is done: an attempt that leaves at once was held for no time.
        if self.account is not None and pending.request.shelf >= 0:
            self.account.held(
                now, pending.key, pending.volume, self.module.shelfs.names[pending.request.shelf], pending.units
            )
        self._carry_out(changes, now)

    def left(self, now: float, pending: PendingRequest) -> None:
        """Its client is gone, or called it off: nothing more is sent for it."""
        if pending.answered:
            return
        pending.answered = True
        self.open -= 1
        self.counts["left"] += 1
        self.noted(pending, None, now)
        assert pending.request is not None
        changes = pending.request.left(now)
        self._carry_out(changes, now)
        self._forget(pending)

    # ---- from shelfs, the listing and the clock

    def ended(
        self, now: float, pending: PendingRequest, attempt: int, outcome: Outcome, took_ms: float, data: bytes = b""
    ) -> None:
        """An attempt has its outcome, exactly one."""
        request = pending.request
        assert request is not None
        self.outcomes[outcome] += 1
        pending.attempt, pending.attempt_ms, self.now = None, took_ms, now
        if outcome is Outcome.SUCCEEDED and not pending.answered:
            self._answer(pending, SUCCEEDED, 0.0, "", data)
        over = pending.answered
        self._account_end(pending, now)
        changes = request.ended(now, attempt, outcome, over, took_ms)
        self._carry_out(changes, now)
        self._forget(pending)

    def listed(self, now: float, kind: ListKind, entries: list[Entry]) -> None:
        self._carry_out(self.module.listed(now, kind, entries), now)
        if self.account is not None:
            self.account.keep(self.module.shelfs.index)

    def woken(self, now: float) -> None:
        self.wakes += 1
        self._carry_out(self.module.woken(now), now)

    def adopt(self, now: float, settings: Settings) -> None:
        """New settings, with nothing dropped: what is held goes on under the new figures."""
        self._carry_out(self.module.adopt(now, settings), now)

    def leaves(self, now: float, end_ms: float) -> None:
        """This life ends: by end_ms (clock time) the module has answered all that is taken."""
        self._carry_out(self.module.leaves(now, end_ms), now)

    def noted(self, pending: PendingRequest, final: int | None, now: float) -> None:
        """For fronts that keep records: a request is over, by its final answer or (None) since its client left."""

    def _account_end(self, pending: PendingRequest, now: float) -> None:
        """An attempt is over. What follows it, if anything, is held anew."""
        if self.account is not None and pending.key in self.account.where:
            self.account.ended(now, pending.key)
            self.account.answered(pending.key)
            if not pending.answered:
                self.account.held(now, pending.key, pending.volume, pending.shelf, pending.units)

    # ---- carrying out

    def _carry_out(self, first: Changes, now: float) -> None:
        """Does what a call to the module changed; a cancellation's outcome is a call of its own, done after."""
        self.now = now
        todo = deque((first,))
        while todo:
            changes = todo.popleft()
            for request in changes.handles:
                pending = self.pending[request.id]
                attempts, cancellations, answer = request.drain()
                for attempt in attempts:
                    self.retries += pending.attempts > 0
                    if self.account is not None:
                        if pending.key not in self.account.where:
                            self.account.held(now, pending.key, pending.volume, attempt.shelf, pending.units)
                        self.account.sent(now, pending.key, pending.attempts == 0)
                    pending.shelf, pending.sent_ms, pending.begin_by_ms = attempt.shelf, now, attempt.begin_by_ms
                    self.doing.send_attempt(pending, attempt.shelf, pending.attempts, attempt.until_ms)
                    pending.attempts += 1
                for number in cancellations:
                    if pending.attempt is not None:
                        self.doing.drop_attempt(pending)
                        pending.attempt = None
                        self.outcomes[Outcome.CANCELLED] += 1
                        took = now - pending.sent_ms
                        self._account_end(pending, now)
                        todo.append(request.ended(now, number, Outcome.CANCELLED, pending.answered, took))
                if answer is not None:
                    if not pending.answered:
                        self.reasons[answer.why] = self.reasons.get(answer.why, 0) + 1
                    self._answer(pending, FINALS[answer.final], answer.stay_away_ms, answer.why, b"")
                self._forget(pending)
            for call in changes.list_calls:
                self.doing.call_list(call)
            if changes.wake_ms is not None:
                self.doing.wake_at(changes.wake_ms)

    def _answer(self, pending: PendingRequest, final: int, stay_ms: float, reason: str, data: bytes) -> None:
        """The one final answer; whatever comes after finds the request answered."""
        if pending.answered:
            return
        pending.answered = True
        self.open -= 1
        self.counts[("honoured", "pushed back", "terminated")[final]] += 1
        self.noted(pending, final, self.now)
        self.doing.answer(pending, final, stay_ms, reason, data)

    def _forget(self, pending: PendingRequest) -> None:
        request = pending.request
        if pending.answered and request is not None and request.over and not request.out:
            if self.pending.pop(pending.key, None) is not None:
                if self.account is not None:
                    self.account.over(now=self.now, key=pending.key)
                self.bytes -= len(pending.data)
                pending.data = b""
