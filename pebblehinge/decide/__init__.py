"""All scheduling decisions. How they are called stands in interface.py; the way of a request in dispatch.py."""

from pebblehinge.decide.dispatch import NEVER_RAN_OUTCOMES
from pebblehinge.decide.node_health import MAX_CONCURRENCY
from pebblehinge.decide.request import MAX_CACHE_ENTRIES, Request
from pebblehinge.decide.scheduler import Scheduler

__all__ = ["MAX_CACHE_ENTRIES", "MAX_CONCURRENCY", "NEVER_RAN_OUTCOMES", "Request", "Scheduler"]
