"""What a storage node simulates, put together."""

from __future__ import annotations

import random
from dataclasses import dataclass

from pebblehinge.storage_node.attempt import Attempt
from pebblehinge.storage_node.contents import Contents
from pebblehinge.storage_node.faults import NetworkFaults
from pebblehinge.storage_node.machine import Machine


@dataclass(frozen=True, slots=True)
class Simulation:
    """What a storage node simulates.

    Attributes:
        machine: The machine.
        contents: What it stores.
        network: The faults of the network.
        rng: What errors are drawn with.
        key_window_ms: For how long an idempotency key is known.
    """

    machine: Machine[Attempt]
    contents: Contents
    network: NetworkFaults
    rng: random.Random
    key_window_ms: float
