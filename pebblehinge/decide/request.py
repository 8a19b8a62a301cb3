"""A request as the scheduler keeps it, and what is known of its extent."""

from __future__ import annotations

from pebblehinge.interface import QuotaPlan, RequestClass
from pebblehinge.scheduler_state import RequestHandle
from pebblehinge.scheduler_state.request_handle import RequestOwner

THINK_TIME_BUCKET_MS = 0.5  # width of a think time's bucket (paper 3.3)
MAX_THINK_TIME_BUCKET = 400  # think times past the last bucket count in it
THINK_TIME_DECAY = 0.9  # what is left of the counts at each new think time (paper 3.3)
MIN_THINK_TIME_COUNT = 0.01  # a bucket that has faded below is dropped
MAX_CACHE_ENTRIES = 4096  # extents, and volumes at rest for a minute: the least recently used goes first
EPSILON = 1e-9  # in place of a divisor of 0, and what counts as none


class ExtentState:
    """What is known of an extent: its think times (from an answer to the next request) and its open requests.

    Args:
        slow_start_turn: its requests' place in a slow start, 0 to 1: drawn anew by a client's first try, kept by
            the client's next one.
    """

    __slots__ = ("think_time_counts", "idle_since_ms", "open_requests", "slow_start_turn")

    def __init__(self, slow_start_turn: float) -> None:
        self.slow_start_turn = slow_start_turn
        self.think_time_counts: dict[int, float] = {}  # faded counts by bucket
        self.idle_since_ms: float | None = None  # when its last request ended, while none is open
        self.open_requests = 0

    def add_think_time(self, think_time_ms: float) -> None:
        """Counts a think time; the earlier ones fade."""
        self.think_time_counts = {
            b: n * THINK_TIME_DECAY
            for b, n in self.think_time_counts.items()
            if n * THINK_TIME_DECAY >= MIN_THINK_TIME_COUNT
        }
        bucket = min(int(think_time_ms / THINK_TIME_BUCKET_MS), MAX_THINK_TIME_BUCKET)
        self.think_time_counts[bucket] = self.think_time_counts.get(bucket, 0.0) + 1.0

    def think_time_quantile(self, part: float) -> float:
        """Returns the think time (ms) that this part of them, 0 to 1, does not exceed; there has to be a count."""
        left = part * sum(self.think_time_counts.values())
        for bucket in sorted(self.think_time_counts):
            left -= self.think_time_counts[bucket]
            if left <= EPSILON:
                break
        return (bucket + 1) * THINK_TIME_BUCKET_MS


class Request(RequestHandle):
    """One request, and its handle. Requests are ordered by when they are due.

    Args:
        dispatcher: decides what its calls mean.
        seq: its number at this scheduler, from 1.
        request_id: the caller's id.
        extent: what it reads or writes, None for none.
        request_class: its class.
        quota_plan: its volume's plan.
        volume: its volume.
        set_size: gateways that share the volume.
        slot: slot of placement of its data, under 0 for a new object.
        units: its cost.
        size: its expected duration as a multiple of the mean's.
        slow_start_turn: place in a slow start, 0 to 1.
        due_ms: by when an answer has its full value.
        deadline_ms: by when an answer is of any use.
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
        size: float,
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
        self.relative_duration = size
        self.slow_start_turn = slow_start_turn
        self.due_ms = due_ms
        self.deadline_ms = deadline_ms
        self.node = -1  # index of its node
        self.is_queued = False
        self.closed = False  # nothing more is owed to the client
        self.is_sequential = False  # its attempt follows one to the same extent
        self.sent_ms = 0.0  # when its last attempt was sent
        self.may_have_run_since_ms: float | None = None  # when the first attempt that may have run was sent
        self.overtaking_answers = (
            0.0  # later attempts that were answered before its own; -inf once that one is cancelled
        )
        self.charged_units = (0.0, 0.0)  # units taken from its volume's reserve and share
        self.value_per_unit = 0.0
        self.delay_reason = ""  # what holds it back, in words for the answer

    def __lt__(self, other: Request) -> bool:
        return (self.due_ms, self.seq) < (other.due_ms, other.seq)
