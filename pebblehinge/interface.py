"""Types that pass between the scheduler (`decide/`) and whatever feeds it and acts for it. No decisions are taken here.

How the scheduler is called: `Scheduler(settings, seed, now)`, then `start(now)` once. `take(...)` gives the handle of a
request and what changed; all that later happens to that request is a call on its handle: `ended` (an attempt's
outcome), `begun` (its stream has started), `left` (the client is gone). `listed` feeds an endpoint list or changes to
it, `woken` says that a requested time has come. Each returns `Changes`: the handles that changed, in order, each with
its new attempts, cancellations and final answer, then the next wake-up and the calls to discovery. `adopt` replaces the
settings in service: queued requests go on under the new ones. `leaves` begins a graceful shutdown. `remembered` gives
a snapshot of what was learned, `recall` restores it in a later incarnation, before its first list.

Times are milliseconds with fractions on the caller's clock; the scheduler reads no other. Rates are units a second. Ids
are the caller's.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class Idempotency(Enum):
    """Whether a request may be sent again after an attempt that may have run. The values are words of the settings.

    A non-idempotent request may not; one with an idempotency key may, within its class's window.
    """

    IDEMPOTENT = "redoable"
    IDEMPOTENT_WITH_KEY = "labelled"
    NON_IDEMPOTENT = "irreversible"


class DeduplicationScope(Enum):
    """Among which storage nodes a request with an idempotency key is deduplicated."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended. The values are words of records and answers."""

    SUCCEEDED = "honoured"  # the node served it
    SERVER_ERROR = "erred"  # the node answered with an error; it may have run
    OVERLOADED = "full"  # rejected by the node before it ran
    TIMED_OUT = "overdue"  # no answer in time; it may have run or still run
    CONNECT_FAILED = "unreached"  # no connection; it never ran
    CONNECTION_LOST = "broken"  # the connection broke before an answer; it may have run
    CANCELLED = "recalled"  # by the scheduler; it may have run
    NOT_SENT = "moot"  # never sent


class EndpointState(Enum):
    """The state of a storage node in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What an endpoint list from discovery holds: changes, all, all from its cache, or nothing as the call failed."""

    CHANGES = "changes"
    WHOLE = "whole"
    CACHED = "cached"
    FAILED = "failed"


class DiscoveryCall(Enum):
    """A call to discovery."""

    WATCH = "watch"


class FinalAnswerKind(Enum):
    """A final answer that the gateway gives by itself. The values are words of answers that clients match on."""

    REJECTED = "pushed back"
    FAILED = "terminated"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests, as the settings state it."""

    name: str
    priority_weight: float  # value of a unit
    latency_objective_ms: float  # an answer later than this counts with late_value_share of its value
    max_wait_ms: float  # how long its clients wait
    late_value_share: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ms: float  # for how long an idempotency key is known, from the first attempt that may have run
    in_order: bool  # one at a time per extent, in order of arrival


@dataclass(slots=True, frozen=True)
class QuotaPlan:
    """What a volume of this plan is due, over all gateways together. Rates in units a second."""

    name: str
    rate: float  # the usual one
    reserved_rate: float  # rate that counts with its full value
    limit_rate: float  # 0 is no limit
    limit_burst: float  # units
    limit_slack: float  # units
    share_weight: float  # of its share beyond the reserve
    value_factor: float


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of a scheduler. Shares are parts of 1."""

    request_classes: tuple[RequestClass, ...]
    quota_plans: tuple[QuotaPlan, ...]
    mean_units: float  # of a request
    max_units: float  # of a request
    share_value: float  # value of a unit inside the volume's share but beyond its reserve
    excess_value: float  # value of a unit beyond both
    must_request_watch: bool  # discovery has to be asked for a watch; else it pushes lists
    clients_mark_retries: bool  # clients say whether a request is a retry of theirs
    cancellation_allowed: bool
    max_retry_after_ms: float  # the longest Retry-After, 0 where none may be given
    max_attempts: int  # attempts a request
    clock_resolution_ms: float  # resolution of the clock
    slow_start_initial_share: float  # of its capacity that a node has at its start
    slow_start_duration_ms: float  # duration of a slow start
    slow_start_failure_multiple: float  # a node that is warming up fails at this multiple of what it can do
    order_settle_ms: float  # wait in an extent's queue after an attempt that may still run
    retry_budget_share: float | None  # retry budget as a share of requests, None for no budget
    retry_budget_min_retries: float  # retries a window allowed in any case
    retry_budget_window_ms: float


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One line of an endpoint list. A start of 0 is long ago."""

    node_name: str
    state: EndpointState
    slot: int
    started_ms: float


@dataclass(slots=True, frozen=True)
class Attempt:
    """An attempt to send. Times are on the caller's clock."""

    node_name: str
    deadline_ms: float  # its deadline: abandoned then
    begin_by_ms: float = float("inf")  # by when all of it has to have left, else it is not to begin


@dataclass(slots=True, frozen=True)
class FinalAnswer:
    """A final answer. `why` says in a few words, for people, which rule gave it."""

    kind: FinalAnswerKind
    retry_after_ms: float = 0.0  # Retry-After, 0 is none
    reason: str = ""


class Handle(Protocol):
    """The handle of one request, as callers see it; decide/dispatch.py says what its calls mean."""

    id: int
    seq: int
    node: int  # index of its node, under 0 where it has none
    attempt_in_flight: bool  # an attempt is in flight
    closed: bool  # nothing more is owed

    def on_attempt_end(self, now: float, attempt: int, outcome: Outcome, over: bool, took_ms: float) -> Changes:
        """An attempt, counted from 0, has ended; `over` says that nothing more is owed to the client."""

    def on_response_start(self, now: float) -> Changes:
        """The answer has begun to stream."""

    def on_client_disconnect(self, now: float) -> Changes:
        """The client is gone."""

    def drain(self) -> tuple[list[Attempt], list[int], FinalAnswer | None]:
        """Returns what is new since the last call: attempts, numbers of attempts to cancel, the final answer."""


@dataclass(slots=True)
class Changes:
    """What a call changed. Handles are in order, each with its new attempts, cancellations and final answer."""

    handles: list[Handle] = field(default_factory=list)
    wake_ms: float | None = None
    discovery_calls: list[DiscoveryCall] = field(default_factory=list)
