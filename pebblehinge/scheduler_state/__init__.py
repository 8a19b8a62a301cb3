"""State that the scheduler's decisions read and write. No decisions are made here.

It holds the settings in force, the calls on a request's handle, the changes and wake-ups of a call, the node table, the
queues by key, the token buckets, the LRU cache, and the snapshot that one incarnation leaves to the next.
"""

from pebblehinge.scheduler_state.change_set import ChangeSet
from pebblehinge.scheduler_state.key_queues import KeyQueues
from pebblehinge.scheduler_state.lru_cache import LruCache
from pebblehinge.scheduler_state.node_table import NodeTable
from pebblehinge.scheduler_state.request_handle import RequestHandle
from pebblehinge.scheduler_state.settings_view import SettingsView
from pebblehinge.scheduler_state.snapshot import FleetStatistics, NodeSnapshot, pack_snapshot
from pebblehinge.scheduler_state.token_buckets import TokenBuckets

__all__ = [
    "RequestHandle",
    "NodeTable",
    "SettingsView",
    "KeyQueues",
    "ChangeSet",
    "FleetStatistics",
    "NodeSnapshot",
    "LruCache",
    "TokenBuckets",
    "pack_snapshot",
]
