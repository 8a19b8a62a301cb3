"""What a process writes of what crosses its sockets: one JSON object a line, led by a time and an event.

Times are milliseconds of the machine's monotonic clock, which all processes of a machine share (in virtual
time: of the virtual clock). `docs/records.md` lists the events.
"""

from pebblehinge.records.files import NoRecords, Records, RecordsError, read_records

__all__ = ["NoRecords", "Records", "RecordsError", "read_records"]
