"""Accounting of waiting time by volume and cause. The package does no I/O and reads no clock."""

from pebblehinge.wait_accounting.accounting import WaitAccounting, WaitShare
from pebblehinge.wait_accounting.causes import GATEWAY, OTHERS, OWN_WORK, RETRIES, CauseKind, WaitCause

__all__ = ["GATEWAY", "OTHERS", "OWN_WORK", "RETRIES", "CauseKind", "WaitAccounting", "WaitCause", "WaitShare"]
