"""The planner: requests trials in batches and turns their results into an answer. No I/O, clock or event loop.

Example::

    planner = Planner(Evidence(demand, config, goal=0.95))
    while batch := planner.next_batch():
        planner.add_results([play(trial) for trial in batch])  # Results may be missing: answer() works at any time.
    planner.answer()
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import replace

import numpy as np

from pebblehinge.capacity_planner.answer import Answer, make_answer
from pebblehinge.capacity_planner.demand import Demand
from pebblehinge.capacity_planner.evidence import Evidence
from pebblehinge.capacity_planner.trial import DEFAULT_JITTER_MS, Trial, TrialResult

SEEDS = (101, 202)

CROSSING_FACTORS = (0.75, 0.87, 1.0, 1.15, 1.33)
"""The first batch runs trials at these factors of the crossing that the formulas estimate."""

NODE_COUNT_FACTORS = (0.7, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5)
"""The first batch with other node counts runs trials at these factors of the estimated count."""

COARSE_STEPS = 5
FINE_STEPS = 3
"""The number of steps that the range of node counts is split into, in the first and in the second search."""

HALF_SECOND_SPIKE_FACTOR = 1.8
"""Half a second is a spike if its rate is above this factor times the mean."""

SMOOTHED_TENTHS = 5
MIN_TENTHS = 50
"""A shorter load, in tenths of a second, is not searched for spikes."""

JITTER_WITH_SPIKE_MS = 300.0
JITTER_WITHOUT_SPIKE_MS = 3_000.0


class Planner:
    """Chooses the trials for one capture and one fleet, and derives the answer.

    Args:
        evidence: The evidence before the first trial.
        seeds: The seeds of trials; trials near the crossing, of node counts and of failures are repeated with each.

    Attributes:
        evidence: The evidence collected so far.
    """

    def __init__(self, evidence: Evidence, seeds: tuple[int, ...] = SEEDS) -> None:
        self.evidence = evidence
        self.seeds = seeds
        self.jitter_ms = choose_jitter(evidence.demand)
        self._requested_trials: set[Trial] = set()
        self._batches = iter(
            (
                self._estimated_crossing_trials,
                self._bracket_trials,
                self._repeated_crossing_trials,
                self._node_count_and_failure_trials,
                lambda: self._node_count_trials(COARSE_STEPS),
                lambda: self._node_count_trials(FINE_STEPS),
            )
        )

    def next_batch(self) -> list[Trial]:
        """Returns the next batch of independent trials; empty if no trials remain."""
        for make_batch in self._batches:
            batch = [replace(trial, jitter_ms=self.jitter_ms) for trial in make_batch()]
            batch = [trial for trial in batch if trial not in self._requested_trials]
            if batch:
                self._requested_trials.update(batch)
                return batch
        return []

    def add_results(self, results: Iterable[TrialResult]) -> None:
        """Adds results of requested trials; results of some trials may be missing."""
        self.evidence.add_results(results)

    def answer(self) -> Answer:
        """Returns the answer that follows from the evidence collected so far."""
        return make_answer(self.evidence)

    def _estimated_crossing_trials(self) -> list[Trial]:
        first_seed = self.seeds[0]
        trials = [Trial(round(self.evidence.estimated_crossing * factor, 3), first_seed) for factor in CROSSING_FACTORS]
        return [*trials, *(Trial(1.0, seed) for seed in self.seeds)]

    def _bracket_trials(self) -> list[Trial]:
        """Returns trials across the bracket, as the crossing may be outside of the range of the first batch."""
        low, high = self.evidence.crossing_bracket()
        return [Trial(round(multiple, 3), self.seeds[0]) for multiple in geometric_steps(low, high)]

    def _repeated_crossing_trials(self) -> list[Trial]:
        low, high = self.evidence.crossing_bracket()
        multiples = (low, math.sqrt(low * high), high)
        return [Trial(round(multiple, 3), seed) for multiple in multiples for seed in self.seeds]

    def _node_count_and_failure_trials(self) -> list[Trial]:
        evidence = self.evidence
        crossing = evidence.crossing()
        estimated_count = evidence.estimated_node_count
        if crossing is not None:  # Trials are more accurate than the formulas.
            estimated_count = max(
                1, math.ceil(len(evidence.nodes.slots) * evidence.growth / max(0.05, crossing.multiple))
            )
        counts = sorted({max(1, math.ceil(estimated_count * factor)) for factor in NODE_COUNT_FACTORS})
        return [
            *(Trial(evidence.growth, self.seeds[0], count) for count in counts),
            *(Trial(1.0, seed, None, failure) for failure in evidence.failures for seed in self.seeds),
        ]

    def _node_count_trials(self, steps: int) -> list[Trial]:
        low, high = self.evidence.node_count_bracket()
        step = max(1, (high - low) // steps)
        counts = range(low, high + 1, step)
        return [Trial(self.evidence.growth, seed, count) for count in counts for seed in self.seeds]


def choose_jitter(demand: Demand) -> float:
    """Returns the largest shift in time of a request's copies in a grown load, in milliseconds.

    The shift is a few seconds, so that requests that coincide by chance are not copied as a burst. If the load has a
    spike of about half a second, which the plan has to cover, the shift is a fraction of a second to preserve it.
    """
    units_by_tenth = np.bincount((demand.arrival_ms / 100.0).astype(int), demand.units)
    if len(units_by_tenth) < MIN_TENTHS:
        return DEFAULT_JITTER_MS
    smoothed_units = np.convolve(units_by_tenth, np.ones(SMOOTHED_TENTHS) / SMOOTHED_TENTHS, "valid")
    return (
        JITTER_WITH_SPIKE_MS
        if smoothed_units.max() > HALF_SECOND_SPIKE_FACTOR * units_by_tenth.mean()
        else JITTER_WITHOUT_SPIKE_MS
    )


def geometric_steps(low: float, high: float) -> list[float]:
    """Returns six multiples from `low` to `high` in geometric progression."""
    ratio = (high / low) ** 0.2
    return [low * ratio**k for k in range(6)]
