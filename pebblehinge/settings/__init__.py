"""Settings in a line-based format: grammar, types, checks, and what is in force. See docs/settings.md."""

from pebblehinge.settings.load import SettingsError, load
from pebblehinge.settings.rendering import show
from pebblehinge.settings.schema import Config, Trouble

__all__ = ["Config", "SettingsError", "Trouble", "load", "show"]
