"""The settings in force."""

from __future__ import annotations

from pebblehinge.interface import Settings


class SettingsView:
    """The settings in force, by name, and the sums over them. Parts of a head share one, so all change at once."""

    def __init__(self, settings: Settings) -> None:
        self.adopt(settings)

    def adopt(self, settings: Settings) -> None:
        self.cfg = settings
        self.request_classes = {p.name: p for p in settings.request_classes}
        self.quota_plans = {p.name: p for p in settings.quota_plans}
        self.rates = sum(p.rate for p in settings.quota_plans)
        self.weights = sum(p.weight for p in settings.quota_plans)
        self.shortest_ms = min(p.latency_objective_ms for p in settings.request_classes)  # of the latency objectives
