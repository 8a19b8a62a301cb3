"""Simulated parts of a storage node."""

from __future__ import annotations

import random
from dataclasses import dataclass

from pebblehinge.storage_node.attempt import Attempt
from pebblehinge.storage_node.contents import Contents
from pebblehinge.storage_node.faults import NetworkFaults
from pebblehinge.storage_node.machine import Machine


@dataclass(frozen=True, slots=True)
class Simulation:
    """Simulated parts of a storage node.

    Attributes:
        machine: The machine.
        contents: The contents of its slot.
        network: The faults of the network.
        rng: Source of the machine's random draws.
        key_window_ms: How long an idempotency key is remembered, in milliseconds.
    """

    machine: Machine[Attempt]
    contents: Contents
    network: NetworkFaults
    rng: random.Random
    key_window_ms: float
