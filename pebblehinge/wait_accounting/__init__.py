"""Who waited for whom: where the time of requests went, by volume and shelf. No I/O, no clock."""

from pebblehinge.wait_accounting.accounting import WaitAccounting, WaitShare

__all__ = ["WaitAccounting", "WaitShare"]
