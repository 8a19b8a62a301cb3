"""Types that pass between the scheduler (`decide/`) and its callers. No decisions are made here.

A caller creates `Scheduler(settings, seed, now)` and calls `start(now)` once. `submit(...)` returns the handle of a
request and what changed; every later event of that request is a call on its handle: `on_attempt_end` (the outcome of
an attempt), `on_response_start` (its response has started to stream), `on_client_disconnect`. `apply_endpoint_list`
passes on an endpoint list or changes to it, and `on_wake_up` is called at a requested time. Each of these calls returns
`Changes`: the handles that changed, in order, each with its new attempts, cancellations and final answer, then the next
wake-up and the calls to discovery. `replace_settings` replaces the settings at run time; queued requests continue under
the new ones. `begin_shutdown` begins a graceful shutdown. `snapshot` returns what the scheduler has learned, and
`restore` loads it in a later incarnation, before its first endpoint list.

Times are milliseconds with fractions on the caller's clock; the scheduler reads no other clock. Rates are in units a
second. Request ids are the caller's.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class Idempotency(Enum):
    """Whether a request may be sent again after an attempt that may have run. The values are words of the settings.

    A non-idempotent request may not be sent again; one with an idempotency key may, within the deduplication window of
    its class.
    """

    IDEMPOTENT = "redoable"
    IDEMPOTENT_WITH_KEY = "labelled"
    NON_IDEMPOTENT = "irreversible"


class DeduplicationScope(Enum):
    """The storage nodes among which a request with an idempotency key is deduplicated."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended. The values are words of records and answers."""

    SUCCEEDED = "honoured"  # the node served it
    SERVER_ERROR = "erred"  # the node answered with an error; it may have run
    OVERLOADED = "full"  # the node rejected it before it ran
    TIMED_OUT = "overdue"  # no answer by its deadline; it may have run or still be running
    CONNECT_FAILED = "unreached"  # no connection was established; it never ran
    CONNECTION_LOST = "broken"  # the connection broke before an answer; it may have run
    CANCELLED = "recalled"  # the scheduler cancelled it; it may have run
    NOT_SENT = "moot"  # it was never sent


class EndpointState(Enum):
    """The state of a storage node in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What an endpoint list from discovery holds.

    It holds changes, all nodes, all nodes from discovery's cache, or nothing since the call failed.
    """

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
    """A class of requests, as the settings define it.

    Attributes:
        name: Its name in the settings.
        priority_weight: Value of one unit.
        latency_objective_ms: An answer later than this counts with `late_value_share` of its value.
        max_wait_ms: How long its clients wait for an answer.
        late_value_share: Share of the value that a late answer has, 0 to 1.
        idempotency: Whether its requests may be sent again.
        deduplication_scope: Where idempotency keys are known.
        deduplication_window_ms: How long an idempotency key is known, from the first attempt that may have run.
        in_order: Whether requests for the same extent run one at a time, in order of arrival.
    """

    name: str
    priority_weight: float
    latency_objective_ms: float
    max_wait_ms: float
    late_value_share: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ms: float
    in_order: bool


@dataclass(slots=True, frozen=True)
class QuotaPlan:
    """The quota of a volume with this plan, over all gateways together. Rates are in units a second.

    Attributes:
        name: Its name in the settings.
        rate: The usual rate.
        reserved_rate: Requests up to this rate count with their full value.
        limit_rate: The rate limit; 0 means none.
        limit_burst: Units that may be sent at once under the limit.
        limit_slack: Tolerance in units, added to the burst.
        share_weight: Weight of the volume's share beyond the reserved rate.
        value_factor: Multiplies the value of the volume's requests.
    """

    name: str
    rate: float
    reserved_rate: float
    limit_rate: float
    limit_burst: float
    limit_slack: float
    share_weight: float
    value_factor: float


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of a scheduler. Shares are fractions of 1."""

    request_classes: tuple[RequestClass, ...]
    quota_plans: tuple[QuotaPlan, ...]
    mean_units: float  # mean cost of a request
    max_units: float  # largest cost of a request
    share_value: float  # value of a unit within the volume's share but beyond its reserved rate
    excess_value: float  # value of a unit beyond both
    must_request_watch: bool  # whether discovery has to be asked for a watch; else it pushes lists
    clients_mark_retries: bool  # whether clients tell which requests are retries of theirs
    cancellation_allowed: bool  # whether attempts in flight may be cancelled
    max_retry_after_ms: float  # longest Retry-After, 0 where none may be given
    max_attempts: int  # attempts per request
    clock_resolution_ms: float
    slow_start_initial_share: float  # share of its capacity that a node has when it starts
    slow_start_duration_ms: float
    slow_start_failure_multiple: float  # a node in a slow start fails at this multiple of its present capacity
    order_settle_ms: float  # wait in an extent's queue after an attempt that may still run
    retry_budget_share: float | None  # retry budget as a share of requests, None for no budget
    retry_budget_min_retries: float  # retries per window that are allowed in any case
    retry_budget_window_ms: float


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One line of an endpoint list. A start of 0 means that the node started long ago."""

    node_name: str
    state: EndpointState
    slot: int
    started_ms: float


@dataclass(slots=True, frozen=True)
class Attempt:
    """An attempt to send. Times are on the caller's clock.

    Attributes:
        node_name: The storage node to send it to.
        deadline_ms: When it times out.
        begin_by_ms: Time by which all of it has to be written, or else it must not begin.
    """

    node_name: str
    deadline_ms: float
    begin_by_ms: float = float("inf")


@dataclass(slots=True, frozen=True)
class FinalAnswer:
    """A final answer.

    Attributes:
        kind: Whether the request was rejected or has failed.
        retry_after_ms: Retry-After for the client, 0 for none.
        reason: The rule that led to it, in a few words for people.
    """

    kind: FinalAnswerKind
    retry_after_ms: float = 0.0
    reason: str = ""


class Handle(Protocol):
    """The handle of one request, as callers see it. `decide/dispatch.py` implements what its calls mean.

    Attributes:
        id: The caller's id of the request.
        seq: Its sequence number at the scheduler.
        node: Index of its storage node, negative if it has none.
        attempt_in_flight: Whether an attempt is in flight.
        closed: Whether the client needs no further answer.
    """

    id: int
    seq: int
    node: int
    attempt_in_flight: bool
    closed: bool

    def on_attempt_end(self, now: float, attempt: int, outcome: Outcome, answered: bool, took_ms: float) -> Changes:
        """Reports the end of an attempt, counted from 0; `answered` means that the client needs no further answer."""

    def on_response_start(self, now: float) -> Changes:
        """Reports that the response has started to stream."""

    def on_client_disconnect(self, now: float) -> Changes:
        """Reports that the client has disconnected."""

    def drain(self) -> tuple[list[Attempt], list[int], FinalAnswer | None]:
        """Returns what is new since the last call: attempts, numbers of attempts to cancel, the final answer."""


@dataclass(slots=True)
class Changes:
    """What a call changed.

    Attributes:
        handles: The handles that changed, in order, each with its new attempts, cancellations and final answer.
        wake_ms: When to call `on_wake_up` next, None for never.
        discovery_calls: Calls to make to discovery.
    """

    handles: list[Handle] = field(default_factory=list)
    wake_ms: float | None = None
    discovery_calls: list[DiscoveryCall] = field(default_factory=list)
