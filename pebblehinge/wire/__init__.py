"""The framed protocol between client and head, head and shelf, and with the listing. No I/O here.

`docs/protocol.md` describes every field. `frames` cuts bytes into checked frames, `session` adds the greeting.
"""

from pebblehinge.wire.frames import Frames, Kind, WireError, encode
from pebblehinge.wire.session import Session

__all__ = ["Frames", "Kind", "Session", "WireError", "encode"]
