"""Crash tests: gateways are killed at random moments under buffered writes; each confirmed write must exist once.

In one round, writers send writes, barriers and flushes to a gateway whose volume is buffered. The gateway is killed at
a random moment (in virtual time its disk loses what was not synced) and restarted, sometimes again during recovery.
The verdict uses only the clients' answers and the storage nodes' journals of effects.
"""
