"""Settings in a line-based format: grammar, types, checks and rendering. `docs/settings.md` describes the format.

`lines` parses text into statements, `builder` builds blocks from them by the types in `schema`, `checks` checks the
blocks against each other, `load` does all of this, and `rendering` turns a config into text again. The fields of the
blocks are the format's keys and keep its words.
"""

from pebblehinge.settings.errors import SettingsError
from pebblehinge.settings.load import load
from pebblehinge.settings.rendering import render_settings
from pebblehinge.settings.schema import Config, ScheduledFault

__all__ = ["Config", "ScheduledFault", "SettingsError", "load", "render_settings"]
