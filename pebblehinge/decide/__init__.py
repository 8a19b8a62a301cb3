"""All scheduling decisions. How they are called stands in interface.py; the way of a request in dispatch.py."""

from pebblehinge.decide.dispatch import NEVER_RAN
from pebblehinge.decide.node_health import CONCURRENCY_LIMIT
from pebblehinge.decide.request import REMEMBERED, Request
from pebblehinge.decide.scheduler import Scheduler

__all__ = ["CONCURRENCY_LIMIT", "NEVER_RAN", "REMEMBERED", "Request", "Scheduler"]
