"""A version's text, read once a process: an instance reads each version for the asker, for the log and for its leases,
and hundreds of hollow heads in one process read the same one.

What is returned is shared: nobody alters it (`msgspec.structs.replace` makes another). At most MOST texts are held with
what was read of them, the least recently used going first. Whoever follows a group holds the active and the pending
version anyway, so this adds two more of them. Errors are never held, as they name who asked; nor is a text that may
include files, since those may change under it.
"""

from __future__ import annotations

from collections import OrderedDict

from pebblehinge.settings import Config
from pebblehinge.settings.load import loads

MOST = 4  # texts held

_held: OrderedDict[str, tuple[str, Config]] = OrderedDict()


def read(text: str, name: str) -> Config:
    """The checked settings of a text, not to be altered; raises SettingsError with places in `name`."""
    found = _held.get(text)
    if found is not None:
        _held.move_to_end(text)
        return found[1]
    config = loads(text, name)
    if "include" not in text:
        _held[text] = (text, config)
        if len(_held) > MOST:
            _held.popitem(last=False)
    return config


def same(text: str) -> str:
    """The string of these characters that is held, so that many heads of a process keep one of it; else itself."""
    found = _held.get(text)
    return text if found is None else found[0]
