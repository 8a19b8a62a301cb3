"""Settings in a line-based format: grammar, types, checks, and what is in force. `docs/settings.md` has the format.

`lines` reads text into statements, `builder` makes blocks of them by the types in `schema`, `checks` compares blocks
with each other, `load` does all of it. The fields of the blocks are the format's keys, and keep its words.
"""

from pebblehinge.settings.errors import SettingsError
from pebblehinge.settings.load import load
from pebblehinge.settings.rendering import render_settings
from pebblehinge.settings.schema import Config, ScheduledFault

__all__ = ["Config", "ScheduledFault", "SettingsError", "load", "render_settings"]
