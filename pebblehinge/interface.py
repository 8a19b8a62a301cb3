"""Types that pass between the decision module and whatever feeds it and acts for it.

How to call the module (`decide/`): Head(settings, seed, now), then head.start(now) once. head.take(...) gives the
handle of an access and what changed; all that later happens to that access is a call on its handle: ended (an attempt's
outcome), begun (its stream has started), left (the client is gone). head.listed feeds a list of shelfs, head.woken says
that a time asked for has come. Each returns Changes: the handles that changed, in order, with their new attempts,
cancellations and final answer, then the next wake and the calls to the list. head.adopt takes new settings in service:
what is held goes on under the new figures. head.leaves tells when this life ends. head.remembered gives what was
learned, head.recall takes it up in a later life, before the first list.

Times are milliseconds with fractions on the caller's clock; nothing in the module reads another. Rates are units a
second, ids are as given by the caller. There are no decisions here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class Idempotency(Enum):
    """What a repeat of an access would do."""

    IDEMPOTENT = "redoable"
    IDEMPOTENT_WITH_KEY = "labelled"
    NON_IDEMPOTENT = "irreversible"


class DeduplicationScope(Enum):
    """Which shelfs drop a repeat of a keyed access."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended."""

    SUCCEEDED = "honoured"  # the shelf served it
    SERVER_ERROR = "erred"  # the shelf answered with an error; it may have run
    OVERLOADED = "full"  # turned away unseen
    TIMED_OUT = "overdue"  # no answer in time; it may have run or still run
    CONNECT_FAILED = "unreached"  # no connection; it never ran
    CONNECTION_LOST = "broken"  # the connection broke meanwhile; it may have run
    CANCELLED = "recalled"  # withdrawn; it may have run
    NOT_SENT = "moot"  # never sent


class Standing(Enum):
    """What the list says of a shelf."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a list holds."""

    CHANGES = "changes"
    WHOLE = "whole"
    CACHED = "cached"
    FAILED = "failed"


class ListCall(Enum):
    """A call to the service that keeps the list."""

    WATCH = "watch"


class Final(Enum):
    """A final answer that the head gives itself."""

    REJECTED = "pushed back"
    FAILED = "terminated"


@dataclass(slots=True, frozen=True)
class Profile:
    """A kind of access, as the settings state it."""

    name: str
    importance: float
    expected_ms: float
    patience_ms: float
    late_share: float
    repeat: Idempotency
    group: DeduplicationScope
    window_ms: float
    in_order: bool


@dataclass(slots=True, frozen=True)
class Plan:
    """What a volume of this plan is due; all figures count over all heads. A limit rate of 0 is no limit."""

    name: str
    rate: float
    reserve: float
    limit_rate: float
    limit_burst: float
    limit_slack: float
    weight: float
    worth_factor: float


@dataclass(slots=True, frozen=True)
class Settings:
    """What an instance is told at its start."""

    profiles: tuple[Profile, ...]
    plans: tuple[Plan, ...]
    mean_units: float
    most_units: float
    share_worth: float
    idle_worth: float
    asks_for_list: bool
    marks_repeats: bool
    may_cancel: bool
    stay_away_max_ms: float  # 0 where none may be given
    try_limit: int
    step_ms: float
    cold_share: float
    warm_ms: float
    fall_multiple: float
    order_settle_ms: float
    budget_share: float | None
    budget_free: float
    budget_window_ms: float


@dataclass(slots=True, frozen=True)
class Entry:
    """One line of a list of shelfs. A start of 0 is long ago."""

    shelf: str
    standing: Standing
    slot: int
    started_ms: float


@dataclass(slots=True, frozen=True)
class Attempt:
    """An attempt to send: where to, the clock time at which it is to be abandoned, and that by which all of it has to
    have left: past that it is not to begin any more."""

    shelf: str
    until_ms: float
    begin_by_ms: float = float("inf")


@dataclass(slots=True, frozen=True)
class Answer:
    """A final answer; a stay-away time of 0 is none. `why` is the module's own branch, in a few words for people."""

    final: Final
    stay_away_ms: float = 0.0
    why: str = ""


class Handle(Protocol):
    """The handle of one access, as callers see it; what its calls mean stands in decide/access.py."""

    id: int
    seq: int
    shelf: int  # the place of its shelf, under 0 where it has none
    out: bool  # an attempt is out
    over: bool  # nothing more is owed

    def ended(self, now: float, attempt: int, outcome: Outcome, over: bool, took_ms: float) -> Changes: ...
    def begun(self, now: float) -> Changes: ...
    def left(self, now: float) -> Changes: ...
    def drain(self) -> tuple[list[Attempt], list[int], Answer | None]: ...


@dataclass(slots=True)
class Changes:
    """What a call changed: handles in order, each with its new attempts, cancellations and final answer."""

    handles: list[Handle] = field(default_factory=list)
    wake_ms: float | None = None
    list_calls: list[ListCall] = field(default_factory=list)
