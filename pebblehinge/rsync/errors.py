"""The errors of the protocol, and the exit codes with which rsync tools end."""

from __future__ import annotations

EXIT_SYNTAX = 1
EXIT_PROTOCOL = 2
EXIT_FILE_SELECTION = 3
EXIT_UNSUPPORTED = 4
EXIT_START = 5
EXIT_SOCKET = 10
EXIT_FILE_IO = 11
EXIT_STREAM = 12
EXIT_PARTIAL = 23
EXIT_DELETE_LIMIT = 25
EXIT_TIMEOUT = 30


class RsyncError(Exception):
    """The other side broke the protocol, or asked for what can't be done.

    Attributes:
        code: The exit code for the client's tool.
    """

    def __init__(self, text: str, code: int = EXIT_PROTOCOL) -> None:
        super().__init__(text)
        self.code = code


class ConnectionClosedError(RsyncError):
    """The other side closed its end in the middle of a transfer."""

    def __init__(self, text: str = "the connection closed in the middle of the transfer") -> None:
        super().__init__(text, EXIT_STREAM)


class RequestRejectedError(RsyncError):
    """A request had no better answer within the transfer's time; the text says which request and why."""
