"""Which requests a gateway admits, by its settings; what it admits goes into the request table."""

from __future__ import annotations

from typing import Any, Protocol, cast

from pebblehinge.core import Effects, FinalStatus, PendingRequest, RequestTable
from pebblehinge.gateway.errors import RequestRejectedError
from pebblehinge.gateway.framed_request import FramedRequest
from pebblehinge.settings.schema import Config, HeadBlock
from pebblehinge.wait_accounting import WaitAccounting
from pebblehinge.wire.frames import APPEND, READ, WRITE

MAX_TIME_LIMIT_MS = 1e9
"""The greatest patience of a request, in milliseconds: as long as any time that the settings may state."""

CAPTURE_OUTCOME_CLIENT_GONE = 3
"""How a capture writes a request whose client went away."""

MAX_QUOTED_CHARS = 60
"""Characters of a client's wrong name that the text of its answer repeats."""


class RequestCapture(Protocol):
    """Records what a gateway admits.

    Attributes:
        is_open: Whether it still records.
    """

    is_open: bool

    def add(self, *row: Any) -> None:
        """Records one request that is over."""

    def flush(self) -> None:
        """Writes what was recorded."""


def check_time_limit(time_limit_ms: float) -> None:
    """Raises RequestRejectedError for a time beyond all that settings may state, or a number that is none."""
    if not abs(time_limit_ms) <= MAX_TIME_LIMIT_MS:
        raise RequestRejectedError(f"{time_limit_ms:g} ms are left: a time of at most {MAX_TIME_LIMIT_MS:g} is taken")


class GatewayCore(RequestTable):
    """The request table of a gateway, with its admission by the settings.

    Attributes:
        config: The settings in force.
        block: The settings of this gateway alone.
        capture: Records each admitted request, if there is one.
    """

    def __init__(self, config: Config, gateway_settings: HeadBlock, now: float, effects: Any) -> None:
        """Takes as `effects` the `Effects` that carry out what is decided, for requests that are `FramedRequest`."""
        accounting = WaitAccounting() if gateway_settings.accounts else None
        super().__init__(
            config.module_settings(gateway_settings), gateway_settings.seed, now, cast(Effects, effects), accounting
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
        """Admits a request, or has it answered at once.

        Args:
            now: The time in milliseconds.
            origin: The request's `RequestOrigin`.
            id_: Its number there.
            trace_id: Names it in all logs.
            volume: The volume's name.
            stated_plan: The quota plan that the client names, or None.
            request_class: The request class, as the settings name it.
            extent: The extent's name.
            slot: The placement slot, or -1 for a new extent.
            units: The request's size in units of the quota.
            time_limit_ms: The client's patience, in milliseconds.
            is_retry: Whether it is a retry, or None if that is not said.
            idempotency_key: The idempotency key, or None for the trace.
            op: The operation.
            offset: Where to read or write, in bytes.
            length: How many bytes.
            data: The bytes to write.

        Returns:
            The request, or None if it was rejected and answered.
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
            # Nothing of it has gone anywhere, so trying again is harmless whatever its class.
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
        """Puts new settings in force, for what is admitted from now on and for all that is queued."""
        self.config = config
        self.configure(now, config.module_settings(self.gateway_settings))

    def on_request_end(self, pending: PendingRequest, final: FinalStatus | None, now: float) -> None:
        """Captures a request that is over, by its final answer or (None) since its client left."""
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
        """Returns the quota plan and the number of gateways of a request's volume; raises RequestRejectedError."""
        config = self.config
        if self.stopping and not getattr(pending.origin, "is_internal", False):
            raise RequestRejectedError("this head is stopping: another one takes new accesses")
        if request_class not in config.profile:
            raise RequestRejectedError(f"profile {request_class[:MAX_QUOTED_CHARS]!r} is not known here")
        volume = config.volume.get(pending.volume)
        if volume is None:
            raise RequestRejectedError(f"volume {pending.volume[:MAX_QUOTED_CHARS]!r} is not known here")
        volume_plan = volume.plan.partition("~")[0]  # between versions a volume may have a plan of its own, with less
        if stated_plan is not None and stated_plan != volume_plan:
            problem = "stands on another plan" if stated_plan in config.plan else "names a plan that is not known here"
            raise RequestRejectedError(f"volume {pending.volume!r} {problem}: {stated_plan[:MAX_QUOTED_CHARS]!r}")
        if not 0 < pending.units <= config.rules.most_units:
            raise RequestRejectedError(f"{pending.units:g} units: at most {config.rules.most_units:g} are taken")
        check_time_limit(time_limit_ms)
        self._check_range_and_capacity(pending)
        return volume.plan, volume.heads

    def _check_range_and_capacity(self, pending: FramedRequest) -> None:
        limits = self.config.limits
        if pending.op not in (READ, WRITE, APPEND) or pending.offset < 0 or not 0 <= pending.length <= limits.frame:
            raise RequestRejectedError("no read or write of such a place")
        if self.open_count >= limits.accesses:
            raise RequestRejectedError(f"{limits.accesses} accesses are open here already")
        if self.payload_bytes + len(pending.data) > limits.bytes:
            raise RequestRejectedError(f"{limits.bytes} bytes of accesses are held here already")
