"""A version's text, parsed once a process.

A member parses each version for the operator, for the log and for its leases, and hundreds of simulated gateways in
one process parse the same one. What is returned is shared: nobody alters it (`msgspec.structs.replace` makes another).
The least recently used text goes first; whoever follows a group holds the active and the pending version anyway, so
this adds two more of them. Errors are never cached, as they name who asked; nor is a text that may include files,
since those may change.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from pebblehinge.settings import Config
from pebblehinge.settings.load import loads

MAX_CACHED_TEXTS = 4


@dataclass(frozen=True, slots=True)
class ParsedVersion:
    """A text with its settings."""

    text: str
    config: Config


_cache: OrderedDict[str, ParsedVersion] = OrderedDict()


def parse_version(text: str, name: str) -> Config:
    """The checked settings of a text, not to be altered. Raises SettingsError with places in `name`."""
    entry = _cache.get(text)
    if entry is not None:
        _cache.move_to_end(text)
        return entry.config
    config = loads(text, name)
    if "include" not in text:
        _cache[text] = ParsedVersion(text, config)
        if len(_cache) > MAX_CACHED_TEXTS:
            _cache.popitem(last=False)
    return config


def shared_text(text: str) -> str:
    """The cached string equal to a text, so that many gateways of a process keep one of it; else the text itself."""
    entry = _cache.get(text)
    return text if entry is None else entry.text
