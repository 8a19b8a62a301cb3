"""Accounting of waiting time: what kept the requests of each volume waiting. No I/O, no clock."""

from pebblehinge.wait_accounting.accounting import WaitAccounting, WaitShare
from pebblehinge.wait_accounting.causes import GATEWAY, OTHERS, OWN_WORK, RETRIES, CauseKind, WaitCause

__all__ = ["GATEWAY", "OTHERS", "OWN_WORK", "RETRIES", "CauseKind", "WaitAccounting", "WaitCause", "WaitShare"]
