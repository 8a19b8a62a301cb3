"""A trial that the planner asks for, and its result."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_JITTER_MS = 1_000.0


@dataclass(slots=True, frozen=True)
class Trial:
    """One run in virtual time.

    Attributes:
        multiple: The load, in multiples of the captured one.
        seed: Of everything that is drawn in the run.
        node_count: The number of storage nodes, with data placed anew; None for the fleet as it is.
        failure: What is lost in the middle of the run: the name of a gateway or a storage node, `rack NAME` or
            `zone NAME`; empty for nothing.
        jitter_ms: How far from the original requests the copies of a grown load come, in milliseconds.
    """

    multiple: float
    seed: int
    node_count: int | None = None
    failure: str = ""
    jitter_ms: float = DEFAULT_JITTER_MS


@dataclass(slots=True)
class TrialResult:
    """The result of a trial. Services and losses are parts of the value of all requests that were due, 0 to 1.

    Attributes:
        trial: What was run.
        service: The service over the whole run.
        by_quota_plan: The service by the name of a quota plan.
        lost_by_node: What was lost by the name of a storage node.
        lost_by_quota: What was lost by the name of a volume whose quota plan has a limit.
        service_during_failure: The service while `trial.failure` lasts.
        service_after_return: The service while what had failed is warming up.
    """

    trial: Trial
    service: float
    by_quota_plan: dict[str, float]
    lost_by_node: dict[str, float]
    lost_by_quota: dict[str, float]
    service_during_failure: float = 0.0
    service_after_return: float = 0.0
