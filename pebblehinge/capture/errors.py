"""The exception of captures."""


class CaptureError(Exception):
    """A capture can't be read at all. The message is one line for the operator."""
