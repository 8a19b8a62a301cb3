"""Jobs of the simulated machine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

Owner = TypeVar("Owner")


@dataclass(slots=True, eq=False)
class Job(Generic[Owner]):
    """The work of one attempt.

    Attributes:
        owner: Object that the caller identifies the job by.
        units: The size of the request, in units of the quota.
        is_write: Whether it writes; a part of a write's work is deferred to the next flush.
        extent: The extent that it reads or writes; a cached extent costs less.
        attempt_index: Index of the attempt, 0 for the first.
        deadline_ms: Time from which the job is no longer started, in milliseconds.
        is_duplicate: Whether it repeats an applied write, which costs next to nothing.
        is_cancelled: Whether it was cancelled.
        has_started: Whether a core has started it.
        work_ms: Its work in milliseconds of one core at speed 1, drawn when the job is submitted.
    """

    owner: Owner
    units: float
    is_write: bool
    extent: str
    attempt_index: int
    deadline_ms: float
    is_duplicate: bool = False
    is_cancelled: bool = False
    has_started: bool = False
    work_ms: float = 0.0


class RunningWork(NamedTuple, Generic[Owner]):
    """Work in progress: the sum of work at which it ends, its start number, and its job (None for a flush)."""

    end_work_ms: float
    order: int
    job: Job[Owner] | None
