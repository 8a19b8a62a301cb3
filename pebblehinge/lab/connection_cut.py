"""A connection that ends after a given number of sent bytes."""

from __future__ import annotations

from pebblehinge.rsync.stream_protocol import StreamProtocol


class ConnectionCutter:
    """Ends a connection after `after` bytes that its client sent; they arrive unless the connection is reset."""

    def __init__(self, line: StreamProtocol, after: int, reset: bool = False) -> None:
        self.line, self.left, self.write, self.reset = line, after, line.stream._write, reset
        line.stream._write = self

    def __call__(self, data: bytes) -> None:
        if self.left >= len(data):
            self.left -= len(data)
            self.write(data)
        elif self.left >= 0:
            self.write(data[: self.left])
            self.left = -1
            self.line.abort() if self.reset else self.line.close()
