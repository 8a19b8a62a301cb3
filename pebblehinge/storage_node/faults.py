"""Faults that the lab can inject into the machine and into the network in front of it."""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MachineFaults:
    """Faults of the machine; by default there are none.

    Attributes:
        slowdown: Factor by which the machine is slower.
        is_hung: Whether the machine makes no progress at all.
        neighbor_share: Share of the machine that a noisy neighbor uses while it is active.
        neighbor_period_ms: How long the neighbor is active, and then idle, in turn, in milliseconds.
        pause_ms: Length of the pauses in milliseconds, 0 for none.
        pause_interval_ms: Mean time from the end of a pause to the next one, in milliseconds.
        error_share: Share of all attempts that fail immediately.
    """

    slowdown: float = 1.0
    is_hung: bool = False
    neighbor_share: float = 0.0
    neighbor_period_ms: float = 0.0
    pause_ms: float = 0.0
    pause_interval_ms: float = 0.0
    error_share: float = 0.0


@dataclass(slots=True)
class NetworkFaults:
    """Faults of the network, as probabilities for each attempt or frame.

    Attributes:
        rng: Source of the draws.
        reset_probability: Probability that an attempt resets its connection, in half of the cases before it is seen.
        garble_probability: Probability that a frame to a gateway is garbled.
        response_loss_probability: Probability that a response is not sent.
    """

    rng: random.Random
    reset_probability: float = 0.0
    garble_probability: float = 0.0
    response_loss_probability: float = 0.0

    def should_inject(self, probability: float) -> bool:
        """Draws whether a fault is to occur; a probability of 0 draws no random number."""
        return probability > 0.0 and self.rng.random() < probability
