"""The exception of event logs."""


class EventLogError(Exception):
    """A file of events can't be written or read, or is damaged. The message is one line for the operator."""
