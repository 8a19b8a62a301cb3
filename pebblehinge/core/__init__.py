"""The request table, which connects the sockets of a frontend to the scheduler; all frontends share it."""

from pebblehinge.core.answers import FinalStatus, RequestCounts
from pebblehinge.core.effects import Effects
from pebblehinge.core.pending_request import PendingRequest
from pebblehinge.core.request_table import RequestTable

__all__ = ["Effects", "FinalStatus", "PendingRequest", "RequestCounts", "RequestTable"]
