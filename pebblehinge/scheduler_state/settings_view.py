"""The settings in force."""

from __future__ import annotations

from pebblehinge.interface import Settings


class SettingsView:
    """Holds the settings in force, with look-ups by name and sums.

    All parts of a scheduler share one view, so that new settings apply to all of them at once.
    """

    def __init__(self, settings: Settings) -> None:
        self.replace(settings)

    def replace(self, settings: Settings) -> None:
        """Replaces the settings."""
        self.current = settings
        self.request_classes = {row.name: row for row in settings.request_classes}
        self.quota_plans = {row.name: row for row in settings.quota_plans}
        self.total_rate = sum(row.rate for row in settings.quota_plans)  # units a second
        self.total_share_weight = sum(row.share_weight for row in settings.quota_plans)
        self.shortest_objective_ms = min(row.latency_objective_ms for row in settings.request_classes)
