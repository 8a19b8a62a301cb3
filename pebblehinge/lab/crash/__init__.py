"""Heads killed at random moments under buffered writes; then every confirmed write must stand exactly once.

One round: writers send writes, barriers and flushes to a head whose volume is buffered; the head dies at a moment
that chance picks (its disk loses what was not synced, in virtual time), and starts again, at times while it recovers.
What is judged comes from the clients' answers and from the shelfs' journals of effects alone.
"""
