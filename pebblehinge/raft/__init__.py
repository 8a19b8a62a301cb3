"""Raft among a few instances, after Ongaro and Ousterhout's paper and Ongaro's thesis.

`core` has no I/O and no clock: ticks, messages and storage results go in; messages, entries to store and committed
entries come out. It is made of `elections`, `leading`, `reads` and `following`, on what `common` holds. `log` is its
memory of entries, `storage` keeps them on disk, `node` carries out what the core wants on asyncio.
"""

from pebblehinge.raft.core import Entry, Message, Raft, Ready, Role
from pebblehinge.raft.log import Log, Membership, Snapshot

__all__ = ["Entry", "Log", "Membership", "Message", "Raft", "Ready", "Role", "Snapshot"]
