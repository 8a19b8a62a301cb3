"""What the decision module keeps book of with no decision in it: settings by name, handles, wakes and changes, columns
under dense places, lines of requests, memory packed."""

from pebblehinge.scheduler_state.change_set import ChangeSet
from pebblehinge.scheduler_state.key_queues import KeyQueues
from pebblehinge.scheduler_state.lru_cache import LruCache
from pebblehinge.scheduler_state.node_table import NodeTable
from pebblehinge.scheduler_state.request_handle import RequestHandle
from pebblehinge.scheduler_state.settings_view import SettingsView
from pebblehinge.scheduler_state.snapshot import NodeSnapshot, pack
from pebblehinge.scheduler_state.token_buckets import TokenBuckets

__all__ = [
    "RequestHandle",
    "NodeTable",
    "SettingsView",
    "KeyQueues",
    "ChangeSet",
    "NodeSnapshot",
    "LruCache",
    "TokenBuckets",
    "pack",
]
