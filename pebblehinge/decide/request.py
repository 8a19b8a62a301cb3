"""A request as the scheduler sees it, and what is known of its extent."""

from __future__ import annotations

from pebblehinge.interface import QuotaPlan, RequestClass
from pebblehinge.scheduler_state import RequestHandle
from pebblehinge.scheduler_state.request_handle import RequestOwner

THINK_TIME_BUCKET_MS = 0.5  # width of a bucket of think times (see the paper in `anticipation`, 3.3)
MAX_THINK_TIME_BUCKET = 400  # longer think times count in this bucket
THINK_TIME_DECAY = 0.9  # factor of the counts with each new think time (paper, 3.3)
MIN_THINK_TIME_COUNT = 0.01  # buckets that have decayed below it are dropped
MAX_CACHE_ENTRIES = 4096  # of extents, and of volumes: the least recently used is dropped first
EPSILON = 1e-9  # replaces a divisor of 0; smaller amounts count as 0


class ExtentState:
    """What is known of an extent: its open requests and its think times, each from an answer to the next request.

    Args:
        slow_start_turn: Turn of its requests in a slow start, 0 to 1. A client's first request draws a new one, and
            its retries keep it.

    Attributes:
        think_time_counts: Decayed counts of think times by bucket.
        idle_since_ms: When its last request ended, None while one is open.
        open_requests: Number of its requests without a final answer.
    """

    __slots__ = ("think_time_counts", "idle_since_ms", "open_requests", "slow_start_turn")

    def __init__(self, slow_start_turn: float) -> None:
        self.slow_start_turn = slow_start_turn
        self.think_time_counts: dict[int, float] = {}
        self.idle_since_ms: float | None = None
        self.open_requests = 0

    def add_think_time(self, think_time_ms: float) -> None:
        """Counts a think time; the counts of earlier ones decay."""
        self.think_time_counts = {
            b: n * THINK_TIME_DECAY
            for b, n in self.think_time_counts.items()
            if n * THINK_TIME_DECAY >= MIN_THINK_TIME_COUNT
        }
        bucket = min(int(think_time_ms / THINK_TIME_BUCKET_MS), MAX_THINK_TIME_BUCKET)
        self.think_time_counts[bucket] = self.think_time_counts.get(bucket, 0.0) + 1.0

    def think_time_quantile(self, fraction: float) -> float:
        """Returns the think time (ms) that this fraction of them, 0 to 1, does not exceed; needs at least one count."""
        remaining = fraction * sum(self.think_time_counts.values())
        for bucket in sorted(self.think_time_counts):
            remaining -= self.think_time_counts[bucket]
            if remaining <= EPSILON:
                break
        return (bucket + 1) * THINK_TIME_BUCKET_MS


class Request(RequestHandle):
    """One request and its handle. Requests are ordered by their due time.

    Args:
        dispatcher: Handles the calls on the handle.
        seq: Its number at this scheduler, from 1.
        request_id: The caller's id.
        extent: The extent that it reads or writes, None for none.
        request_class: Its class.
        quota_plan: The quota plan of its volume.
        volume: Its volume.
        set_size: Number of gateways that share the volume.
        slot: Slot of placement of its data, negative for a new object.
        units: Its cost.
        relative_duration: Its expected duration as a multiple of the mean.
        slow_start_turn: Its turn in a slow start, 0 to 1.
        due_ms: Time by which an answer has its full value.
        deadline_ms: Time by which an answer has any value.

    Attributes:
        node: Index of its node, -1 without one.
        is_queued: Whether it is in the queue of its node.
        closed: Whether nothing more is owed to the client.
        is_sequential: Whether its attempt follows one for the same extent at its node.
        sent_ms: When its last attempt was sent.
        may_have_run_since_ms: When the first attempt that may have run was sent, None without one.
        overtaking_answers: Attempts that were sent later and answered earlier; -inf once its attempt is cancelled.
        charged_units: Units that it took from its volume's reserved rate and share.
        value_per_unit: Its value per unit of cost.
        delay_reason: What delays it, in the words of the final answer.
    """

    def __init__(
        self,
        dispatcher: RequestOwner,
        seq: int,
        request_id: int,
        extent: str | None,
        request_class: RequestClass,
        quota_plan: QuotaPlan,
        volume: str,
        set_size: int,
        slot: int,
        units: float,
        relative_duration: float,
        slow_start_turn: float,
        due_ms: float,
        deadline_ms: float,
    ) -> None:
        super().__init__(dispatcher)
        self.seq = seq
        self.id = request_id
        self.extent = extent
        self.request_class = request_class
        self.quota_plan = quota_plan
        self.volume = volume
        self.set_size = set_size
        self.slot = slot
        self.units = units
        self.relative_duration = relative_duration
        self.slow_start_turn = slow_start_turn
        self.due_ms = due_ms
        self.deadline_ms = deadline_ms
        self.node = -1
        self.is_queued = False
        self.closed = False
        self.is_sequential = False
        self.sent_ms = 0.0
        self.may_have_run_since_ms: float | None = None
        self.overtaking_answers = 0.0
        self.charged_units = (0.0, 0.0)
        self.value_per_unit = 0.0
        self.delay_reason = ""

    def __lt__(self, other: Request) -> bool:
        return (self.due_ms, self.seq) < (other.due_ms, other.seq)
