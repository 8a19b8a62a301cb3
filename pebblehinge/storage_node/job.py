"""A machine's jobs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

Owner = TypeVar("Owner")


@dataclass(slots=True, eq=False)
class Job(Generic[Owner]):
    """The work of one attempt.

    Attributes:
        owner: What the caller knows it by.
        units: The size of the request.
        is_write: Whether it writes; a part of a write's work is deferred to the next flush.
        extent: What it reads or writes; one in the cache costs less.
        attempt_index: The number of the attempt, 0 for the first.
        deadline_ms: When it's too late to start.
        is_duplicate: Whether it repeats an applied write, which costs next to nothing.
        is_cancelled: Whether it was cancelled.
        has_started: Whether a core has begun on it.
        work_ms: Its work, drawn as it is submitted.
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
    """Work that a core is on: the sum of work at which it ends, the order of its start, its job (None for a flush)."""

    end_work_ms: float
    order: int
    job: Job[Owner] | None
