"""Admission control: checks requests against the settings and adds those that pass to the request table."""

from __future__ import annotations

from typing import Any, Protocol, cast

from pebblehinge.core import Effects, FinalStatus, PendingRequest, RequestTable
from pebblehinge.gateway.errors import RequestRejectedError
from pebblehinge.gateway.framed_request import FramedRequest
from pebblehinge.settings.schema import Config, HeadBlock
from pebblehinge.wait_accounting import WaitAccounting
from pebblehinge.wire.frames import APPEND, READ, WRITE

MAX_TIME_LIMIT_MS = 1e9
"""The greatest time limit that a client may state for a request, which is also the greatest time in settings."""

CAPTURE_OUTCOME_CLIENT_GONE = 3
"""The outcome that a capture records for a request whose client disconnected or cancelled it."""

MAX_QUOTED_CHARS = 60
"""Limit of the quotation of an invalid name in the reason of a rejection."""


class RequestCapture(Protocol):
    """A recorder of the requests that a gateway admitted.

    Attributes:
        is_open: Whether the capture still records requests.
    """

    is_open: bool

    def add(self, *row: Any) -> None:
        """Records one request that has ended."""

    def flush(self) -> None:
        """Writes the requests recorded so far."""


def check_time_limit(time_limit_ms: float) -> None:
    """Raises RequestRejectedError for a time limit that is NaN or of greater magnitude than `MAX_TIME_LIMIT_MS`."""
    if not abs(time_limit_ms) <= MAX_TIME_LIMIT_MS:
        raise RequestRejectedError(f"{time_limit_ms:g} ms are left: a time of at most {MAX_TIME_LIMIT_MS:g} is taken")


class GatewayCore(RequestTable):
    """The request table of a gateway, which admits requests by its settings.

    Attributes:
        config: The settings in force.
        gateway_settings: The settings of this gateway alone.
        capture: The recorder of admitted requests, None for none.
    """

    def __init__(self, config: Config, gateway_settings: HeadBlock, now: float, effects: Any) -> None:
        """Creates the table; `effects` implements `Effects` for requests of the class `FramedRequest`."""
        accounting = WaitAccounting() if gateway_settings.accounts else None
        super().__init__(
            config.scheduler_settings(gateway_settings), gateway_settings.seed, now, cast(Effects, effects), accounting
        )
        self.config = config
        self.gateway_settings = gateway_settings
        self.capture: RequestCapture | None = None

    def admit(
        self,
        now: float,
        origin: Any,
        id_: int,
        trace_id: str,
        volume: str,
        stated_plan: str | None,
        request_class: str,
        extent: str,
        slot: int,
        units: float,
        time_limit_ms: float,
        is_retry: bool | None,
        idempotency_key: str | None,
        op: int,
        offset: int,
        length: int,
        data: bytes,
    ) -> FramedRequest | None:
        """Admits a request, or rejects it with an immediate final answer.

        Args:
            now: Clock time in milliseconds.
            origin: The `RequestOrigin` that sent the request and receives its answer.
            id_: Number of the request, unique among the open ones of its origin.
            trace_id: Identifies the request in logs and records.
            volume: Name of the volume.
            stated_plan: Name of the quota plan that the client expects, None if it states none.
            request_class: Name of the request class in the settings.
            extent: Name of the extent.
            slot: Slot of placement, -1 for a new extent.
            units: Cost of the request, in units.
            time_limit_ms: Time within which the client needs the answer, in milliseconds.
            is_retry: Whether the client marked the request as a retry, None if it did not say.
            idempotency_key: The idempotency key, None to use the trace id.
            op: The operation, one of those of `pebblehinge.wire.frames`.
            offset: Start of the range within the extent, in bytes.
            length: Length of the range, in bytes.
            data: The bytes to write.

        Returns:
            The request, or None if it was rejected.
        """
        pending = FramedRequest()
        pending.origin = origin
        pending.id = id_
        pending.trace_id = trace_id
        pending.volume = volume
        pending.extent = extent
        pending.slot = slot
        pending.units = units
        pending.idempotency_key = idempotency_key or trace_id
        pending.op = op
        pending.offset = offset
        pending.length = length
        pending.data = data
        pending.request_class = request_class
        pending.is_retry = bool(is_retry)
        self.counts.received += 1
        try:
            quota_plan, set_size = self._check_admission(pending, stated_plan, request_class, time_limit_ms)
        except RequestRejectedError as error:
            # No attempt was sent, so the client may safely retry a request of any class.
            self.counts.not_admitted += 1
            pending.answered = True
            retry_after_ms = self.config.rules.stay_away_max
            self.effects.answer(pending, FinalStatus.REJECTED, retry_after_ms, str(error), b"")
            return None
        pending.quota_plan = quota_plan
        self.accept(
            now,
            pending,
            f"{volume}/{extent}",
            request_class,
            quota_plan,
            set_size,
            slot,
            now + time_limit_ms - self.gateway_settings.answer_margin,
            is_retry if self.config.rules.marks_repeats else None,
        )
        return pending

    def apply_config(self, now: float, config: Config) -> None:
        """Replaces the settings, for requests admitted from now on and for those that are queued."""
        self.config = config
        self.configure(now, config.scheduler_settings(self.gateway_settings))

    def on_request_end(self, pending: PendingRequest, final: FinalStatus | None, now: float) -> None:
        """Captures a request that has ended; `final` is None if its client disconnected or cancelled it."""
        if self.capture is not None:
            assert isinstance(pending, FramedRequest)
            self.capture.add(
                pending.arrived_ms,
                pending.volume,
                pending.quota_plan.partition("~")[0],
                pending.request_class,
                pending.extent,
                pending.slot,
                pending.units,
                pending.op != READ,
                pending.is_retry,
                max(pending.length, len(pending.data)),
                CAPTURE_OUTCOME_CLIENT_GONE if final is None else final,
                round(now - pending.arrived_ms, 3),
                round(pending.last_attempt_ms, 3),
                pending.attempt_count,
            )

    def _check_admission(
        self, pending: FramedRequest, stated_plan: str | None, request_class: str, time_limit_ms: float
    ) -> tuple[str, int]:
        """Returns the quota plan and the set size of the request's volume; raises RequestRejectedError."""
        config = self.config
        if self.stopping and not getattr(pending.origin, "is_internal", False):
            raise RequestRejectedError("this head is stopping: another one takes new accesses")
        if request_class not in config.profile:
            raise RequestRejectedError(f"profile {request_class[:MAX_QUOTED_CHARS]!r} is not known here")
        volume = config.volume.get(pending.volume)
        if volume is None:
            raise RequestRejectedError(f"volume {pending.volume[:MAX_QUOTED_CHARS]!r} is not known here")
        # While a new version of the configuration is activated, a volume may have a reduced plan of its own, whose
        # name begins with that of its usual plan and "~".
        volume_plan = volume.plan.partition("~")[0]
        if stated_plan is not None and stated_plan != volume_plan:
            problem = "stands on another plan" if stated_plan in config.plan else "names a plan that is not known here"
            raise RequestRejectedError(f"volume {pending.volume!r} {problem}: {stated_plan[:MAX_QUOTED_CHARS]!r}")
        if not 0 < pending.units <= config.rules.most_units:
            raise RequestRejectedError(f"{pending.units:g} units: at most {config.rules.most_units:g} are taken")
        check_time_limit(time_limit_ms)
        self._check_range_and_capacity(pending)
        return volume.plan, volume.heads

    def _check_range_and_capacity(self, pending: FramedRequest) -> None:
        """Raises RequestRejectedError for an invalid range, or if the table is at one of its limits."""
        limits = self.config.limits
        if pending.op not in (READ, WRITE, APPEND) or pending.offset < 0 or not 0 <= pending.length <= limits.frame:
            raise RequestRejectedError("no read or write of such a place")
        if self.open_count >= limits.accesses:
            raise RequestRejectedError(f"{limits.accesses} accesses are open here already")
        if self.payload_bytes + len(pending.data) > limits.bytes:
            raise RequestRejectedError(f"{limits.bytes} bytes of accesses are held here already")
