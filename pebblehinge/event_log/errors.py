"""Exception of the event logs."""


class EventLogError(Exception):
    """An event log can't be written or read, or is damaged. The message is one line for the operator."""
