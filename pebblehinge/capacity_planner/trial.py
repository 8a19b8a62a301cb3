"""A trial that the planner requests, and its result."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_JITTER_MS = 1_000.0


@dataclass(slots=True, frozen=True)
class Trial:
    """One simulated run in virtual time.

    Attributes:
        multiple: The load, in multiples of the captured load.
        seed: The seed of all random values of the run.
        node_count: The number of storage nodes, with a new data placement; None for the fleet as it is.
        failure: The part of the fleet that fails in the middle of the run: the name of a gateway or a storage node,
            `rack NAME` or `zone NAME`; empty for no failure.
        jitter_ms: The largest shift in time, either way, of a request's copies in a grown load, in milliseconds.
    """

    multiple: float
    seed: int
    node_count: int | None = None
    failure: str = ""
    jitter_ms: float = DEFAULT_JITTER_MS


@dataclass(slots=True)
class TrialResult:
    """The result of a trial. Services and losses are fractions, 0 to 1, of the value of all due requests.

    Attributes:
        trial: The trial that was run.
        service: The service over the whole run.
        by_quota_plan: The service by quota plan name.
        lost_by_node: Losses by storage node name.
        lost_by_quota: Losses to quotas, by name of the volume; only volumes whose quota plan has a limit occur.
        service_during_failure: The service during `trial.failure`.
        service_after_return: The service while the recovered part is warming up.
    """

    trial: Trial
    service: float
    by_quota_plan: dict[str, float]
    lost_by_node: dict[str, float]
    lost_by_quota: dict[str, float]
    service_during_failure: float = 0.0
    service_after_return: float = 0.0
