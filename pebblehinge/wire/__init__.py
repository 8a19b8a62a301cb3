"""The framed protocol between clients, gateways, storage nodes, discovery and the replicated configuration.

`docs/protocol.md` describes every field. `kinds` defines the kinds of frames, `frames` encodes and decodes frames, and
`session` adds the greeting. The package does no I/O.
"""

from pebblehinge.wire.frames import FrameDecoder, WireError, encode
from pebblehinge.wire.kinds import Kind
from pebblehinge.wire.session import Session

__all__ = ["FrameDecoder", "Kind", "Session", "WireError", "encode"]
