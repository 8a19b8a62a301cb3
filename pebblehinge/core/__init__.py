"""What stands between any front and the decision module, the same for all fronts; it decides nothing."""

from pebblehinge.core.request_table import FAILED, REJECTED, SUCCEEDED, PendingRequest, RequestTable

__all__ = ["SUCCEEDED", "REJECTED", "FAILED", "RequestTable", "PendingRequest"]
