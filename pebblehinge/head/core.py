"""Between sockets and the decision module: keeps what the module need not know, and decides nothing.

No I/O and no clock: calls come in with the time, what is to be done goes out through `Doing`. A trip's outcome
is told as it was; the final answer of an honoured access is sent here, every other one comes from the module.
"""

from __future__ import annotations

from collections import deque
from typing import Any, Protocol

from pebblehinge.account import Books
from pebblehinge.decide import Access, Head
from pebblehinge.interface import Changes, Entry, Final, ListCall, ListKind, Outcome
from pebblehinge.settings.schema import Config, HeadBlock
from pebblehinge.wire.frames import APPEND, READ, WRITE

HONOURED, PUSHED_BACK, TERMINATED = 0, 1, 2  # the final answers as the wire numbers them
MOST_LEFT_MS = 1e9  # ms, as long as any time that the settings may state
FINALS = {Final.PUSHED_BACK: PUSHED_BACK, Final.TERMINATED: TERMINATED}


class Taken:
    """One access that this head took, with what its trips need."""

    __slots__ = (
        "key", "conn", "id", "trace", "access", "volume", "extent", "slot", "units", "label", "op", "offset",
        "length", "data", "came_ms", "answered", "trip", "trips", "shelf", "sent_ms", "plan", "profile", "again",
        "trip_ms",
    )  # fmt: skip

    def __init__(self) -> None:
        self.access: Access | None = None
        self.answered = False
        self.trip: Any = None  # what the link keeps of the trip that is out
        self.trips = 0
        self.shelf, self.sent_ms, self.trip_ms = "", 0.0, 0.0


class Doing(Protocol):
    """What the core has done for it."""

    def send_trip(self, taken: Taken, shelf: str, trip: int, until_ms: float) -> None: ...
    def drop_trip(self, taken: Taken) -> None: ...
    def answer(self, taken: Taken, final: int, stay_ms: float, reason: str, data: bytes) -> None: ...
    def wake_at(self, at_ms: float) -> None: ...
    def call_list(self, call: ListCall) -> None: ...


class Refusal(Exception):
    """An access that can't be given to the module; the text goes to its client."""


def odd_time(left_ms: float) -> str:
    """Why nothing can be asked for in this time: beyond all that settings may state, or a number that is none."""
    if abs(left_ms) <= MOST_LEFT_MS:
        return ""
    return f"{left_ms:g} ms are left: a time of at most {MOST_LEFT_MS:g} is taken"


class Core:
    """One running head's books."""

    def __init__(self, config: Config, head: HeadBlock, now: float, doing: Doing) -> None:
        self.config, self.block, self.doing = config, head, doing
        self.module = Head(config.module_settings(head), head.seed, now)
        self.taken: dict[int, Taken] = {}  # all that may still get events, by key
        self.keys = 0
        self.bytes = 0
        self.open = 0  # taken and not yet answered
        self.stopping = False
        self.counts = {"taken": 0, "honoured": 0, "pushed back": 0, "terminated": 0, "left": 0, "refused": 0}
        self.outcomes = {outcome: 0 for outcome in Outcome}
        self.account = Books() if head.accounts else None
        self.reasons: dict[str, int] = {}  # why accesses were not honoured, by the module's own branches
        self.further = self.wakes = 0
        self.now = now
        self.capture: Any = None  # a CaptureWriter, where what is taken is kept

    def start(self, now: float) -> None:
        self._carry_out(self.module.start(now), now)

    # ---- from clients

    def take(
        self, now: float, conn: Any, id_: int, trace: str, volume: str, plan: str | None, profile: str,
        extent: str, slot: int, units: float, left_ms: float, again: bool | None, label: str | None,
        op: int, offset: int, length: int, data: bytes,
    ) -> Taken | None:  # fmt: skip
        """An access has come. None where it was refused at the door, and answered."""
        taken = Taken()
        self.keys += 1
        taken.key, taken.conn, taken.id, taken.trace = self.keys, conn, id_, trace
        taken.volume, taken.extent, taken.slot, taken.units = volume, extent, slot, units
        taken.label, taken.op, taken.offset, taken.length, taken.data = label or trace, op, offset, length, data
        taken.came_ms, taken.profile, taken.again = now, profile, bool(again)
        self.counts["taken"] += 1
        try:
            known_plan, set_size = self._admit(taken, plan, profile, left_ms)
        except Refusal as refusal:
            # Nothing of it has gone anywhere, so trying again is harmless whatever its profile.
            self.counts["refused"] += 1
            taken.answered = True
            self.doing.answer(taken, PUSHED_BACK, self.config.rules.stay_away_max, str(refusal), b"")
            return None
        taken.plan = known_plan
        self.taken[taken.key] = taken
        self.open += 1
        self.bytes += len(data)
        abandon = now + left_ms - self.block.answer_margin
        taken.access, changes = self.module.take(
            now, taken.key, f"{volume}/{extent}", profile, known_plan, volume, set_size, slot, units, abandon,
            again if self.config.rules.marks_repeats else None,
        )  # fmt: skip
        # Before what the call changed is done: a trip that leaves at once was held for no time.
        if self.account is not None and taken.access.shelf >= 0:
            self.account.held(now, taken.key, volume, self.module.names[taken.access.shelf], units)
        self._carry_out(changes, now)
        return taken

    def _admit(self, taken: Taken, plan: str | None, profile: str, left_ms: float) -> tuple[str, int]:
        """The plan and number of heads of an access's volume, or why it can't be taken."""
        config, limits = self.config, self.config.limits
        if self.stopping and not getattr(taken.conn, "inside", False):
            raise Refusal("this head is stopping: another one takes new accesses")
        if profile not in config.profile:
            raise Refusal(f"profile {profile[:60]!r} is not known here")
        volume = config.volume.get(taken.volume)
        if volume is None:
            raise Refusal(f"volume {taken.volume[:60]!r} is not known here")
        stands = volume.plan.partition("~")[0]  # between versions a volume may have a plan of its own, with less
        if plan is not None and plan != stands:
            what = "stands on another plan" if plan in config.plan else "names a plan that is not known here"
            raise Refusal(f"volume {taken.volume!r} {what}: {plan[:60]!r}")
        if not 0 < taken.units <= config.rules.most_units:
            raise Refusal(f"{taken.units:g} units: at most {config.rules.most_units:g} are taken")
        if why := odd_time(left_ms):
            raise Refusal(why)
        if taken.op not in (READ, WRITE, APPEND) or taken.offset < 0 or not 0 <= taken.length <= limits.frame:
            raise Refusal("no read or write of such a place")
        if self.open >= limits.accesses:
            raise Refusal(f"{limits.accesses} accesses are open here already")
        if self.bytes + len(taken.data) > limits.bytes:
            raise Refusal(f"{limits.bytes} bytes of accesses are held here already")
        return volume.plan, volume.heads

    def left(self, now: float, taken: Taken) -> None:
        """Its client is gone, or called it off: nothing more is sent for it."""
        if taken.answered:
            return
        taken.answered = True
        self.open -= 1
        self.counts["left"] += 1
        if self.capture is not None:
            self._capture(taken, 3, now)
        assert taken.access is not None
        changes = taken.access.left(now)
        self._carry_out(changes, now)
        self._forget(taken)

    # ---- from shelfs, the listing and the clock

    def ended(
        self, now: float, taken: Taken, trip: int, outcome: Outcome, took_ms: float, data: bytes = b""
    ) -> None:
        """A trip has its outcome, exactly one."""
        access = taken.access
        assert access is not None
        self.outcomes[outcome] += 1
        taken.trip, taken.trip_ms, self.now = None, took_ms, now
        if outcome is Outcome.HONOURED and not taken.answered:
            self._answer(taken, HONOURED, 0.0, "", data)
        over = taken.answered
        self._account_end(taken, now)
        changes = access.ended(now, trip, outcome, over, took_ms)
        self._carry_out(changes, now)
        self._forget(taken)

    def listed(self, now: float, kind: ListKind, entries: list[Entry]) -> None:
        self._carry_out(self.module.listed(now, kind, entries), now)
        if self.account is not None:
            self.account.keep(self.module.index)

    def woken(self, now: float) -> None:
        self.wakes += 1
        self._carry_out(self.module.woken(now), now)

    def adopt(self, now: float, config: Config) -> None:
        """New settings, with nothing dropped: what is held goes on under the new figures."""
        self.config = config
        self._carry_out(self.module.adopt(now, config.module_settings(self.block)), now)

    def _account_end(self, taken: Taken, now: float) -> None:
        """A trip is over. What follows it, if anything, is held anew."""
        if self.account is not None and taken.key in self.account.where:
            self.account.ended(now, taken.key)
            self.account.answered(taken.key)
            if not taken.answered:
                self.account.held(now, taken.key, taken.volume, taken.shelf, taken.units)

    # ---- carrying out

    def _carry_out(self, first: Changes, now: float) -> None:
        """Does what a call to the module changed; a recall's outcome is a call of its own, done after."""
        self.now = now
        todo = deque((first,))
        while todo:
            changes = todo.popleft()
            for access in changes.handles:
                taken = self.taken[access.id]
                trips, recalls, answer = access.drain()
                for trip in trips:
                    self.further += taken.trips > 0
                    if self.account is not None:
                        if taken.key not in self.account.where:
                            self.account.held(now, taken.key, taken.volume, trip.shelf, taken.units)
                        self.account.sent(now, taken.key, taken.trips == 0)
                    taken.shelf, taken.sent_ms = trip.shelf, now
                    self.doing.send_trip(taken, trip.shelf, taken.trips, trip.until_ms)
                    taken.trips += 1
                for number in recalls:
                    if taken.trip is not None:
                        self.doing.drop_trip(taken)
                        taken.trip = None
                        self.outcomes[Outcome.RECALLED] += 1
                        took = now - taken.sent_ms
                        self._account_end(taken, now)
                        todo.append(access.ended(now, number, Outcome.RECALLED, taken.answered, took))
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
        if self.capture is not None:
            self._capture(taken, final, self.now)
        self.doing.answer(taken, final, stay_ms, reason, data)

    def _capture(self, taken: Taken, final: int, now: float) -> None:
        self.capture.add(
            taken.came_ms, taken.volume, taken.plan.partition("~")[0], taken.profile, taken.extent, taken.slot,
            taken.units, taken.op != READ, taken.again, max(taken.length, len(taken.data)), final,
            round(now - taken.came_ms, 3), round(taken.trip_ms, 3), taken.trips,
        )  # fmt: skip

    def _forget(self, taken: Taken) -> None:
        access = taken.access
        if taken.answered and access is not None and access.over and not access.out:
            if self.taken.pop(taken.key, None) is not None:
                if self.account is not None:
                    self.account.over(now=self.now, key=taken.key)
                self.bytes -= len(taken.data)
                taken.data = b""
