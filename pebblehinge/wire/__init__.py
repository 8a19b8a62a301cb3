"""The framed protocol between clients, gateways, storage nodes, discovery and the replicated configuration. No I/O.

`docs/protocol.md` describes every field. `kinds` lists the kinds of frames, `frames` cuts bytes into checked frames,
`session` adds the greeting.
"""

from pebblehinge.wire.frames import FrameDecoder, WireError, encode
from pebblehinge.wire.kinds import Kind
from pebblehinge.wire.session import Session

__all__ = ["FrameDecoder", "Kind", "Session", "WireError", "encode"]
