"""Between sockets and the decision module: keeps what the module need not know, and decides nothing.

No I/O and no clock: calls come in with the time, what is to be done goes out through `Doing`. An attempt's outcome
is told as it was; the final answer of an succeeded access is sent here, every other one comes from the module.
What may come in at all is the front's to say: it admits an access, then has it taken here.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Any, Protocol

from pebblehinge.decide import Access, Head
from pebblehinge.interface import Changes, Entry, Final, ListCall, ListKind, Outcome, Settings

if TYPE_CHECKING:
    from pebblehinge.account import Books

SUCCEEDED, REJECTED, FAILED = 0, 1, 2  # the final answers as the wire numbers them
FINALS = {Final.REJECTED: REJECTED, Final.FAILED: FAILED}


class Taken:
    """One access that this head took. A front adds what its attempts need."""

    __slots__ = (
        "key",
        "conn",
        "id",
        "access",
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
        self.access: Access | None = None
        self.answered = False
        self.attempt: Any = None  # what the link keeps of the attempt that is out
        self.attempts = 0
        self.shelf, self.sent_ms, self.attempt_ms = "", 0.0, 0.0
        self.begin_by_ms = math.inf  # the attempt that leaves may begin no later


class Doing(Protocol):
    """What the core has done for it."""

    def send_attempt(self, taken: Taken, shelf: str, attempt: int, until_ms: float) -> None: ...
    def drop_attempt(self, taken: Taken) -> None: ...
    def answer(self, taken: Taken, final: int, stay_ms: float, reason: str, data: bytes) -> None: ...
    def wake_at(self, at_ms: float) -> None: ...
    def call_list(self, call: ListCall) -> None: ...


class Core:
    """One running head's books."""

    def __init__(self, settings: Settings, seed: int, now: float, doing: Doing, account: Books | None = None) -> None:
        self.doing, self.account = doing, account
        self.module = Head(settings, seed, now)
        self.taken: dict[int, Taken] = {}  # all that may still get events, by key
        self.keys = 0
        self.bytes = 0
        self.open = 0  # taken and not yet answered
        self.stopping = False
        self.counts = {"taken": 0, "honoured": 0, "pushed back": 0, "terminated": 0, "left": 0, "refused": 0}
        self.outcomes = {outcome: 0 for outcome in Outcome}
        self.reasons: dict[str, int] = {}  # why accesses were not succeeded, by the module's own branches
        self.retries = self.wakes = 0
        self.now = now

    def start(self, now: float) -> None:
        self._carry_out(self.module.start(now), now)

    # ---- from clients

    def accept(
        self,
        now: float,
        taken: Taken,
        extent: str | None,
        profile: str,
        plan: str,
        set_size: int,
        slot: int,
        abandon_ms: float,
        again: bool | None,
    ) -> None:
        """An access that its front has admitted; volume, units and data stand in it."""
        self.keys += 1
        taken.key, taken.came_ms = self.keys, now
        self.taken[taken.key] = taken
        self.open += 1
        self.bytes += len(taken.data)
        taken.access, changes = self.module.take(
            now, taken.key, extent, profile, plan, taken.volume, set_size, slot, taken.units, abandon_ms, again
        )
        # Before what the call changed is done: an attempt that leaves at once was held for no time.
        if self.account is not None and taken.access.shelf >= 0:
            self.account.held(now, taken.key, taken.volume, self.module.shelfs.names[taken.access.shelf], taken.units)
        self._carry_out(changes, now)

    def left(self, now: float, taken: Taken) -> None:
        """Its client is gone, or called it off: nothing more is sent for it."""
        if taken.answered:
            return
        taken.answered = True
        self.open -= 1
        self.counts["left"] += 1
        self.noted(taken, None, now)
        assert taken.access is not None
        changes = taken.access.left(now)
        self._carry_out(changes, now)
        self._forget(taken)

    # ---- from shelfs, the listing and the clock

    def ended(
        self, now: float, taken: Taken, attempt: int, outcome: Outcome, took_ms: float, data: bytes = b""
    ) -> None:
        """An attempt has its outcome, exactly one."""
        access = taken.access
        assert access is not None
        self.outcomes[outcome] += 1
        taken.attempt, taken.attempt_ms, self.now = None, took_ms, now
        if outcome is Outcome.SUCCEEDED and not taken.answered:
            self._answer(taken, SUCCEEDED, 0.0, "", data)
        over = taken.answered
        self._account_end(taken, now)
        changes = access.ended(now, attempt, outcome, over, took_ms)
        self._carry_out(changes, now)
        self._forget(taken)

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

    def noted(self, taken: Taken, final: int | None, now: float) -> None:
        """For fronts that keep records: an access is over, by its final answer or (None) since its client left."""

    def _account_end(self, taken: Taken, now: float) -> None:
        """An attempt is over. What follows it, if anything, is held anew."""
        if self.account is not None and taken.key in self.account.where:
            self.account.ended(now, taken.key)
            self.account.answered(taken.key)
            if not taken.answered:
                self.account.held(now, taken.key, taken.volume, taken.shelf, taken.units)

    # ---- carrying out

    def _carry_out(self, first: Changes, now: float) -> None:
        """Does what a call to the module changed; a cancellation's outcome is a call of its own, done after."""
        self.now = now
        todo = deque((first,))
        while todo:
            changes = todo.popleft()
            for access in changes.handles:
                taken = self.taken[access.id]
                attempts, cancellations, answer = access.drain()
                for attempt in attempts:
                    self.retries += taken.attempts > 0
                    if self.account is not None:
                        if taken.key not in self.account.where:
                            self.account.held(now, taken.key, taken.volume, attempt.shelf, taken.units)
                        self.account.sent(now, taken.key, taken.attempts == 0)
                    taken.shelf, taken.sent_ms, taken.begin_by_ms = attempt.shelf, now, attempt.begin_by_ms
                    self.doing.send_attempt(taken, attempt.shelf, taken.attempts, attempt.until_ms)
                    taken.attempts += 1
                for number in cancellations:
                    if taken.attempt is not None:
                        self.doing.drop_attempt(taken)
                        taken.attempt = None
                        self.outcomes[Outcome.CANCELLED] += 1
                        took = now - taken.sent_ms
                        self._account_end(taken, now)
                        todo.append(access.ended(now, number, Outcome.CANCELLED, taken.answered, took))
                if answer is not None:
                    if not taken.answered:
                        self.reasons[answer.why] = self.reasons.get(answer.why, 0) + 1
                    self._answer(taken, FINALS[answer.final], answer.stay_away_ms, answer.why, b"")
                self._forget(taken)
            for call in changes.list_calls:
                self.doing.call_list(call)
            if changes.wake_ms is not None:
                self.doing.wake_at(changes.wake_ms)

    def _answer(self, taken: Taken, final: int, stay_ms: float, reason: str, data: bytes) -> None:
        """The one final answer; whatever comes after finds the access answered."""
        if taken.answered:
            return
        taken.answered = True
        self.open -= 1
        self.counts[("honoured", "pushed back", "terminated")[final]] += 1
        self.noted(taken, final, self.now)
        self.doing.answer(taken, final, stay_ms, reason, data)

    def _forget(self, taken: Taken) -> None:
        access = taken.access
        if taken.answered and access is not None and access.over and not access.out:
            if self.taken.pop(taken.key, None) is not None:
                if self.account is not None:
                    self.account.over(now=self.now, key=taken.key)
                self.bytes -= len(taken.data)
                taken.data = b""
