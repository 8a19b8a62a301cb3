"""What stands between any front and the decision module, the same for all fronts; it decides nothing."""

from pebblehinge.core.books import FAILED, REJECTED, SUCCEEDED, Core, Taken

__all__ = ["SUCCEEDED", "REJECTED", "FAILED", "Core", "Taken"]
