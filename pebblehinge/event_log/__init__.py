"""Event logs: a process's record of the messages that cross its sockets, one JSON object per line.

Every line begins with a time (`t`) and the name of an event (`e`). Times are milliseconds of the machine's monotonic
clock, which all processes of a machine share, or of the virtual clock in virtual time.
`docs/records.md` lists the events and their fields.
"""

from pebblehinge.event_log.errors import EventLogError
from pebblehinge.event_log.reader import read_events
from pebblehinge.event_log.writer import EventLog, NullEventLog

__all__ = ["EventLog", "EventLogError", "NullEventLog", "read_events"]
