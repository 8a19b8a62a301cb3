"""The request table between a front's sockets and the scheduler, the same for all fronts."""

from pebblehinge.core.answers import FinalStatus, RequestCounts
from pebblehinge.core.effects import Effects
from pebblehinge.core.pending_request import PendingRequest
from pebblehinge.core.request_table import RequestTable

__all__ = ["Effects", "FinalStatus", "PendingRequest", "RequestCounts", "RequestTable"]
