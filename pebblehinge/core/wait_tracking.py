"""Reports of the request table to the wait accounting, for gateways that have one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pebblehinge.core.pending_request import PendingRequest

if TYPE_CHECKING:
    from pebblehinge.wait_accounting import WaitAccounting


def track_queued(accounting: WaitAccounting, now: float, pending: PendingRequest, node: str) -> None:
    """Reports that a request is queued for a storage node from now on."""
    accounting.enqueue(now, pending.key, pending.volume, node, pending.units)


def track_sent(accounting: WaitAccounting, now: float, pending: PendingRequest, node: str) -> None:
    """Reports that an attempt is about to be sent; an untracked request counts as queued for no time."""
    if pending.key not in accounting.tracked_requests:
        track_queued(accounting, now, pending, node)
    accounting.start_attempt(now, pending.key, pending.attempt_count == 0)


def track_attempt_end(accounting: WaitAccounting, now: float, pending: PendingRequest) -> None:
    """Reports that an attempt has ended; a request without an answer is queued again, as a retry may follow."""
    if pending.key not in accounting.tracked_requests:
        return
    accounting.end_attempt(now, pending.key)
    accounting.forget(pending.key)
    if not pending.answered:
        track_queued(accounting, now, pending, pending.node)
