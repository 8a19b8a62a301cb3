"""Which requests a gateway admits, by its settings; what it admits goes into the request table."""

from __future__ import annotations

from typing import Any, Protocol, cast

from pebblehinge.core import Effects, FinalStatus, PendingRequest, RequestTable
from pebblehinge.gateway.errors import RequestRejectedError
from pebblehinge.gateway.framed_request import FramedRequest
from pebblehinge.settings.schema import Config, HeadBlock
from pebblehinge.wait_accounting import WaitAccounting
from pebblehinge.wire.frames import APPEND, READ, WRITE

MAX_PATIENCE_MS = 1e9
"""The greatest patience of a request, in milliseconds: as long as any time that the settings may state."""

CAPTURED_CANCELLED = 3
"""How a capture writes a request whose client went away."""

MAX_QUOTED = 60
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


def check_patience(left_ms: float) -> None:
    """Raises RequestRejectedError for a time beyond all that settings may state, or a number that is none."""
    if not abs(left_ms) <= MAX_PATIENCE_MS:
        raise RequestRejectedError(f"{left_ms:g} ms are left: a time of at most {MAX_PATIENCE_MS:g} is taken")


class GatewayCore(RequestTable):
    """The request table of a gateway, with its admission by the settings.

    Attributes:
        config: The settings in force.
        block: The settings of this gateway alone.
        capture: Records each admitted request, if there is one.
    """

    def __init__(self, config: Config, block: HeadBlock, now: float, effects: Any) -> None:
        """Takes as `effects` the `Effects` that carry out what is decided, for requests that are `FramedRequest`."""
        accounting = WaitAccounting() if block.accounts else None
        super().__init__(config.module_settings(block), block.seed, now, cast(Effects, effects), accounting)
        self.config = config
        self.block = block
        self.capture: RequestCapture | None = None

    def take(
        self,
        now: float,
        conn: Any,
        id_: int,
        trace: str,
        volume: str,
        plan: str | None,
        profile: str,
        extent: str,
        slot: int,
        units: float,
        left_ms: float,
        again: bool | None,
        label: str | None,
        op: int,
        offset: int,
        length: int,
        data: bytes,
    ) -> FramedRequest | None:
        """Admits a request, or has it answered at once.

        Args:
            now: The time in milliseconds.
            conn: The request's `RequestOrigin`.
            id_: Its number there.
            trace: Names it in all logs.
            volume: The volume's name.
            plan: The quota plan that the client names, or None.
            profile: The request class, as the settings name it.
            extent: The extent's name.
            slot: The placement slot, or -1 for a new extent.
            units: The request's size in units of the quota.
            left_ms: The client's patience, in milliseconds.
            again: Whether it is a retry, or None if that is not said.
            label: The idempotency key, or None for the trace.
            op: The operation.
            offset: Where to read or write, in bytes.
            length: How many bytes.
            data: The bytes to write.

        Returns:
            The request, or None if it was rejected and answered.
        """
        pending = FramedRequest()
        pending.origin = conn
        pending.id = id_
        pending.trace = trace
        pending.volume = volume
        pending.extent = extent
        pending.slot = slot
        pending.units = units
        pending.label = label or trace
        pending.op = op
        pending.offset = offset
        pending.length = length
        pending.data = data
        pending.profile = profile
        pending.again = bool(again)
        self.counts.received += 1
        try:
            known_plan, set_size = self._admit(pending, plan, profile, left_ms)
        except RequestRejectedError as error:
            # Nothing of it has gone anywhere, so trying again is harmless whatever its class.
            self.counts.not_admitted += 1
            pending.answered = True
            stay_ms = self.config.rules.stay_away_max
            self.effects.answer(pending, FinalStatus.REJECTED, stay_ms, str(error), b"")
            return None
        pending.plan = known_plan
        self.accept(
            now,
            pending,
            f"{volume}/{extent}",
            profile,
            known_plan,
            set_size,
            slot,
            now + left_ms - self.block.answer_margin,
            again if self.config.rules.marks_repeats else None,
        )
        return pending

    def adopt_config(self, now: float, config: Config) -> None:
        """Puts new settings in force, for what is admitted from now on and for all that is queued."""
        self.config = config
        self.configure(now, config.module_settings(self.block))

    def on_request_end(self, pending: PendingRequest, final: FinalStatus | None, now: float) -> None:
        """Captures a request that is over, by its final answer or (None) since its client left."""
        if self.capture is not None:
            assert isinstance(pending, FramedRequest)
            self.capture.add(
                pending.arrived_ms,
                pending.volume,
                pending.plan.partition("~")[0],
                pending.profile,
                pending.extent,
                pending.slot,
                pending.units,
                pending.op != READ,
                pending.again,
                max(pending.length, len(pending.data)),
                CAPTURED_CANCELLED if final is None else final,
                round(now - pending.arrived_ms, 3),
                round(pending.last_attempt_ms, 3),
                pending.attempt_count,
            )

    def _admit(self, pending: FramedRequest, plan: str | None, profile: str, left_ms: float) -> tuple[str, int]:
        """Returns the quota plan and the number of gateways of a request's volume; raises RequestRejectedError."""
        config = self.config
        if self.stopping and not getattr(pending.origin, "is_internal", False):
            raise RequestRejectedError("this head is stopping: another one takes new accesses")
        if profile not in config.profile:
            raise RequestRejectedError(f"profile {profile[:MAX_QUOTED]!r} is not known here")
        volume = config.volume.get(pending.volume)
        if volume is None:
            raise RequestRejectedError(f"volume {pending.volume[:MAX_QUOTED]!r} is not known here")
        volume_plan = volume.plan.partition("~")[0]  # between versions a volume may have a plan of its own, with less
        if plan is not None and plan != volume_plan:
            what = "stands on another plan" if plan in config.plan else "names a plan that is not known here"
            raise RequestRejectedError(f"volume {pending.volume!r} {what}: {plan[:MAX_QUOTED]!r}")
        if not 0 < pending.units <= config.rules.most_units:
            raise RequestRejectedError(f"{pending.units:g} units: at most {config.rules.most_units:g} are taken")
        check_patience(left_ms)
        self._check_place_and_capacity(pending)
        return volume.plan, volume.heads

    def _check_place_and_capacity(self, pending: FramedRequest) -> None:
        limits = self.config.limits
        if pending.op not in (READ, WRITE, APPEND) or pending.offset < 0 or not 0 <= pending.length <= limits.frame:
            raise RequestRejectedError("no read or write of such a place")
        if self.open_count >= limits.accesses:
            raise RequestRejectedError(f"{limits.accesses} accesses are open here already")
        if self.payload_bytes + len(pending.data) > limits.bytes:
            raise RequestRejectedError(f"{limits.bytes} bytes of accesses are held here already")
