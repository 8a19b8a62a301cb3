"""The faults that the lab can inject: those of the machine, and those of the network before it."""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MachineFaults:
    """Faults of the machine; the defaults are a machine without any.

    Attributes:
        slowdown: By how much the machine is slower, as a factor.
        is_hung: Whether no work goes on at all.
        neighbor_share: The part of the machine that a noisy neighbor takes while it is active.
        neighbor_period_ms: For how long the neighbor is active, and then idle, in turn.
        pause_ms: The length of the pauses; 0 for none.
        pause_interval_ms: The mean time from the end of a pause to the next one.
        error_share: The part of all attempts that fail at once.
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
    """Faults of the network; each is a probability for one attempt or frame.

    Attributes:
        rng: What the probabilities are drawn with.
        reset_probability: That the connection is reset, in half of the cases before the attempt is seen.
        garble_probability: That a frame to a gateway is garbled.
        response_loss_probability: That a response isn't sent.
    """

    rng: random.Random
    reset_probability: float = 0.0
    garble_probability: float = 0.0
    response_loss_probability: float = 0.0

    def should_inject(self, probability: float) -> bool:
        """Draws whether a fault occurs; without a draw if its probability is 0."""
        return probability > 0.0 and self.rng.random() < probability
