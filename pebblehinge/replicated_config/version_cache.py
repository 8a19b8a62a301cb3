"""A cache of parsed versions, so that a process parses each text once.

A member parses each version for the operator, for the log and for its leases, and hundreds of simulated gateways in
one process parse the same one. The parsed settings are shared and must not be altered (`msgspec.structs.replace` makes
a copy). The least recently used text is dropped first. Members and gateways hold the active and the pending version
anyway, so the cache adds two more texts. Errors are never cached, since they name the caller's source; nor is a
text that may include files, since those may change.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from pebblehinge.settings import Config
from pebblehinge.settings.load import loads

MAX_CACHED_TEXTS = 4


@dataclass(frozen=True, slots=True)
class ParsedVersion:
    """A version's text with its settings."""

    text: str
    config: Config


_cache: OrderedDict[str, ParsedVersion] = OrderedDict()


def parse_version(text: str, name: str) -> Config:
    """Returns the checked settings of a text, which must not be altered.

    Raises:
        SettingsError: If the text is not valid; its places are in `name`.
    """
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
    """Returns the cached string that equals a text, so that a process holds it only once; else the text itself."""
    entry = _cache.get(text)
    return text if entry is None else entry.text
