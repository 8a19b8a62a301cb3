"""The settings in force."""

from __future__ import annotations

from pebblehinge.interface import Settings


class Given:
    """The settings in force, by name, and the sums over them. Parts of a head share one, so all change at once."""

    def __init__(self, settings: Settings) -> None:
        self.adopt(settings)

    def adopt(self, settings: Settings) -> None:
        self.cfg = settings
        self.profiles = {p.name: p for p in settings.profiles}
        self.plans = {p.name: p for p in settings.plans}
        self.rates = sum(p.rate for p in settings.plans)
        self.weights = sum(p.weight for p in settings.plans)
        self.shortest_ms = min(p.expected_ms for p in settings.profiles)  # of the expected times
