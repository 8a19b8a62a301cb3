"""Raft among a few members, after Ongaro and Ousterhout's paper and Ongaro's thesis, whose terms it uses.

`core` has no I/O and no clock: ticks, messages and reports of the driver go in; messages, entries to store and
committed entries come out. It is made of `election`, `leader` (with `replication` and `read_index`) and `follower`,
which act on the `state` that they share. `entries` and `log` are the replicated log, `messages` what members send
each other and `codec` how that looks on the wire, `storage` keeps what must last on disk in the format of
`records`, `identity` says whose folder that is. `node` drives a core on asyncio, over the links of `transport`.
`model` explores every order of events of a small group.
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
