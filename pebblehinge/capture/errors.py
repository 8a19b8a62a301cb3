"""Exception of the captures."""


class CaptureError(Exception):
    """A capture is unreadable from its start. The message is one line for the operator."""
