"""What stands between any front and the decision module, the same for all fronts; it decides nothing."""

from pebblehinge.core.books import HONOURED, PUSHED_BACK, TERMINATED, Core, Taken

__all__ = ["HONOURED", "PUSHED_BACK", "TERMINATED", "Core", "Taken"]
