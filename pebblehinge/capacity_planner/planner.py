"""The planner: asks for trials in batches, and turns their results into an answer. No I/O, no clock, no event loop.

Example::

    planner = Planner(Evidence(demand, config, goal=0.95))
    while batch := planner.next_batch():
        planner.add_results([play(trial) for trial in batch])  # or fewer results: it can stop at any time
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
"""The first batch tries the multiple that the formulas say by these factors."""

NODE_COUNT_FACTORS = (0.7, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5)
"""The first batch on other numbers of storage nodes tries the guessed number by these factors."""

COARSE_STEPS = 5
FINE_STEPS = 3
"""Into how many steps the range of numbers of storage nodes is split, at first and then."""

HALF_SECOND_SPIKE_FACTOR = 1.8
"""Half a second is a spike if its rate exceeds the mean by this factor."""

SMOOTHED_TENTHS = 5
MIN_TENTHS = 50
"""A load that is shorter, in tenths of a second, is not searched for spikes."""

JITTER_WITH_SPIKE_MS = 300.0
JITTER_WITHOUT_SPIKE_MS = 3_000.0


class Planner:
    """Reasons over one capture and one fleet.

    Args:
        evidence: What is known before the first trial.
        seeds: Of the trials; those that decide are repeated with every seed.

    Attributes:
        evidence: What is known by now.
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
        """The next batch of trials, which don't depend on each other; empty if nothing is left to ask."""
        for make_batch in self._batches:
            batch = [replace(trial, jitter_ms=self.jitter_ms) for trial in make_batch()]
            batch = [trial for trial in batch if trial not in self._requested_trials]
            if batch:
                self._requested_trials.update(batch)
                return batch
        return []

    def add_results(self, results: Iterable[TrialResult]) -> None:
        """Takes the results of trials that were asked for, of all or of some."""
        self.evidence.add_results(results)

    def answer(self) -> Answer:
        """What is known by now."""
        return make_answer(self.evidence)

    def _estimated_crossing_trials(self) -> list[Trial]:
        first = self.seeds[0]
        guesses = [Trial(round(self.evidence.estimated_crossing * factor, 3), first) for factor in CROSSING_FACTORS]
        return [*guesses, *(Trial(1.0, seed) for seed in self.seeds)]

    def _bracket_trials(self) -> list[Trial]:
        """The crossing may lie outside of the first batch's range."""
        low, high = self.evidence.crossing_bracket()
        return [Trial(round(multiple, 3), self.seeds[0]) for multiple in geometric_steps(low, high)]

    def _repeated_crossing_trials(self) -> list[Trial]:
        low, high = self.evidence.crossing_bracket()
        multiples = (low, math.sqrt(low * high), high)
        return [Trial(round(multiple, 3), seed) for multiple in multiples for seed in self.seeds]

    def _node_count_and_failure_trials(self) -> list[Trial]:
        evidence = self.evidence
        crossing = evidence.crossing()
        guess = evidence.estimated_node_count
        if crossing is not None:  # trials of the load that the fleet holds say more than the formulas
            guess = max(1, math.ceil(len(evidence.nodes.slots) * evidence.growth / max(0.05, crossing.multiple)))
        counts = sorted({max(1, math.ceil(guess * factor)) for factor in NODE_COUNT_FACTORS})
        return [
            *(Trial(evidence.growth, self.seeds[0], count) for count in counts),
            *(Trial(1.0, seed, None, failure) for failure in evidence.failures for seed in self.seeds),
        ]

    def _node_count_trials(self, parts: int) -> list[Trial]:
        low, high = self.evidence.node_count_bracket()
        step = max(1, (high - low) // parts)
        counts = range(low, high + 1, step)
        return [Trial(self.evidence.growth, seed, count) for count in counts for seed in self.seeds]


def choose_jitter(demand: Demand) -> float:
    """How far from the original requests the copies of a grown load may come, in milliseconds.

    A few seconds, so that requests that come together by chance aren't copied together; but a part of a second where
    the load has a spike that is shorter, and that is the design case.
    """
    tenths = np.bincount((demand.arrival_ms / 100.0).astype(int), demand.units)
    if len(tenths) < MIN_TENTHS:
        return DEFAULT_JITTER_MS
    smooth = np.convolve(tenths, np.ones(SMOOTHED_TENTHS) / SMOOTHED_TENTHS, "valid")
    return JITTER_WITH_SPIKE_MS if smooth.max() > HALF_SECOND_SPIKE_FACTOR * tenths.mean() else JITTER_WITHOUT_SPIKE_MS


def geometric_steps(low: float, high: float) -> list[float]:
    """Six multiples from `low` to `high` in even steps of their ratio."""
    ratio = (high / low) ** 0.2
    return [low * ratio**k for k in range(6)]
