"""Admits requests of clients to the request table, or refuses those for which there is no room."""

from __future__ import annotations

from pebblehinge.service.client_request import ClientRequest, ParsedRequest
from pebblehinge.service.context import AdmittedConnection, ServiceContext
from pebblehinge.service.memory_budget import MIB, MemoryBudget
from pebblehinge.service.reasons import ReasonCounts, RefusalReason
from pebblehinge.service.request_ids import ID_BYTES, RequestIds

MAX_ID_MEMORY_SHARE = 1 / 16  # Of the memory limit of the process.
ANSWER_MARGIN_MS = 4.0  # Answers are due this long before the client stops waiting.


def retry_after_header(delay_ms: float) -> bytes:
    """Returns the Retry-After header line, or no bytes for a delay of 0."""
    return b"Retry-After: %.3f\r\n" % (delay_ms / 1000.0) if delay_ms > 0 else b""


class Admission:
    """Decides which requests the scheduler sees, by the limits of the gateway alone.

    Attributes:
        request_ids: Ids of the open requests, and of those that must not run a second time.
        refusals: Counts of refused requests that the scheduler has not seen, by reason.
    """

    def __init__(self, context: ServiceContext, memory_budget: MemoryBudget) -> None:
        self.context = context
        self.memory_budget = memory_budget
        self.request_ids = RequestIds(0, context.clock())
        self.set_memory_limit(context.config.memory_limit_mb)
        self.refusals = ReasonCounts("refused")

    def set_memory_limit(self, limit_mb: int) -> None:
        """Sets how many ids are remembered, by the memory limit of the process in MiB."""
        self.request_ids.max_remembered = int(MAX_ID_MEMORY_SHARE * limit_mb * MIB) // ID_BYTES

    def admit(self, conn: AdmittedConnection, parsed_request: ParsedRequest, body: bytes) -> None:
        """Passes a request to the request table, or refuses it."""
        now = self.context.clock()
        is_idempotent = parsed_request.request_class in self.context.config.idempotent_classes
        refusal = self._refusal(is_idempotent, len(body), now)
        if refusal is not None:
            self.refusals.add(refusal)
            conn.respond(503, extra_headers=self.retry_after())
            return
        pending = ClientRequest()
        pending.origin = conn
        pending.id = parsed_request.id
        pending.volume = parsed_request.volume
        pending.units = parsed_request.units
        pending.data = body
        pending.head = parsed_request.head
        pending.is_idempotent = is_idempotent
        pending.may_have_run = False
        self._accept(now, conn, pending, parsed_request)

    def _refusal(self, is_idempotent: bool, body_bytes: int, now: float) -> RefusalReason | None:
        if self.context.core.open_count >= self.context.config.max_open_requests:
            return RefusalReason.TOO_MANY_OPEN
        if not self.memory_budget.has_room(body_bytes):
            return RefusalReason.MEMORY
        if not is_idempotent and not self.request_ids.has_room(now):
            return RefusalReason.TOO_MANY_IDS
        return None

    def _accept(
        self, now: float, conn: AdmittedConnection, pending: ClientRequest, parsed_request: ParsedRequest
    ) -> None:
        context = self.context
        conn.pending = pending
        self.request_ids.open_ids.add(pending.id)
        conn.enter_active_group()
        context.core.counts.received += 1
        # The client's time began before its last bytes were read, and the request may have waited for a step since.
        deadline_ms = conn.input.last_read_ms + parsed_request.max_wait_ms - ANSWER_MARGIN_MS
        conn.answer_deadline_ms = min(deadline_ms, now + context.config.longest_wait_ms)
        context.core.accept(
            now,
            pending,
            parsed_request.extent,
            parsed_request.request_class,
            parsed_request.quota_plan,
            parsed_request.set_size,
            parsed_request.slot,
            deadline_ms,
            parsed_request.is_retry if context.config.settings.clients_mark_retries else None,
        )

    def retry_after(self) -> bytes:
        """Returns the header line for refusals, with the longest delay that the settings allow."""
        return retry_after_header(self.context.config.settings.max_retry_after_ms)

    def note_attempt(self, pending: ClientRequest) -> None:
        """Notes that an attempt begins now, so that the request may run."""
        pending.may_have_run = True
        self._remember_if_needed(pending)

    def release_id(self, pending: ClientRequest) -> None:
        """Ends the request that an id belongs to; if it may have run, a new one with this id may not run yet."""
        self.request_ids.open_ids.discard(pending.id)
        self._remember_if_needed(pending)

    def _remember_if_needed(self, pending: ClientRequest) -> None:
        if pending.may_have_run and not pending.is_idempotent:
            self.request_ids.remember(pending.id, self.context.clock())
