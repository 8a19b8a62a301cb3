"""The Raft consensus algorithm for a small group, in the terms of Ongaro and Ousterhout's paper and Ongaro's thesis.

`core` is the algorithm without I/O or a clock: its driver passes in ticks, messages and reports of finished work, and
gets back messages to send, entries to persist and committed entries to apply. The core consists of `election`, `leader`
(with `replication` and `read_index`) and `follower`, which share the member's `state`. `entries` and `log` are the
replicated log, `messages` the messages between members and `codec` their wire format. `storage` persists a member's
state in the file format of `records`, and `identity` records which member a storage folder belongs to. `node` drives a
core on asyncio, over the connections of `transport`. `model` checks safety in every order of events of a small group.
"""

from pebblehinge.raft.core import Raft
from pebblehinge.raft.entries import Entry, EntryKind, HardState, Membership, Snapshot, initial_snapshot
from pebblehinge.raft.errors import RaftError
from pebblehinge.raft.log import Log
from pebblehinge.raft.messages import Message
from pebblehinge.raft.ready import Ready
from pebblehinge.raft.state import Role

__all__ = [
    "Entry",
    "EntryKind",
    "HardState",
    "Log",
    "Membership",
    "Message",
    "Raft",
    "RaftError",
    "Ready",
    "Role",
    "Snapshot",
    "initial_snapshot",
]
