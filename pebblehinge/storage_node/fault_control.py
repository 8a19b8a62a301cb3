"""The faults that the lab injects by control frames, and ends."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from enum import StrEnum
from typing import Any

from pebblehinge.event_log import EventLog, NullEventLog
from pebblehinge.storage_node.connection import ConnectionContext
from pebblehinge.storage_node.errors import ControlError
from pebblehinge.storage_node.faults import MachineFaults
from pebblehinge.storage_node.registration import Registration, ReportedState

Values = Mapping[str, Any]
"""The values of a control frame, by their words on the wire."""

ENDS = "off"
"""The value that ends a fault."""

DONE = "done"
"""The response to a verb that was carried out and asks for nothing."""


class ControlVerb(StrEnum):
    """What the lab can ask for, by its word on the wire."""

    SLOW = "slow"
    HANG = "hang"
    NEIGHBOR = "neighbour"
    PAUSES = "pauses"
    FAST_ERRORS = "fast-errors"
    RESETS = "resets"
    GARBLE = "garble"
    LOST_RESPONSES = "lost-answers"
    HALF_OPEN = "half-open"
    DRAIN = "drain"
    STATS = "stats"


def _number(values: Values, word: str) -> float:
    """A value of a machine fault; 1 if it is missing."""
    return float(values.get(word, True))


def _slow(faults: MachineFaults, values: Values) -> MachineFaults:
    return replace(faults, slowdown=_number(values, "slow"))


def _hang(faults: MachineFaults, values: Values) -> MachineFaults:
    return replace(faults, is_hung=bool(values.get("hang", True)))


def _neighbor(faults: MachineFaults, values: Values) -> MachineFaults:
    share, period_ms = _number(values, "neighbour"), _number(values, "neighbour_ms")
    return replace(faults, neighbor_share=share, neighbor_period_ms=period_ms)


def _pauses(faults: MachineFaults, values: Values) -> MachineFaults:
    pause_ms, interval_ms = _number(values, "pause_ms"), _number(values, "pause_every_ms")
    return replace(faults, pause_ms=pause_ms, pause_interval_ms=interval_ms)


def _fast_errors(faults: MachineFaults, values: Values) -> MachineFaults:
    return replace(faults, error_share=_number(values, "errors"))


MACHINE_FAULTS: dict[str, Callable[[MachineFaults, Values], MachineFaults]] = {
    ControlVerb.SLOW: _slow,
    ControlVerb.HANG: _hang,
    ControlVerb.NEIGHBOR: _neighbor,
    ControlVerb.PAUSES: _pauses,
    ControlVerb.FAST_ERRORS: _fast_errors,
}
"""What a verb changes in the machine's faults, by the verb."""

AT_REST: dict[str, Values] = {
    ControlVerb.SLOW: {"slow": 1.0},
    ControlVerb.HANG: {"hang": False},
    ControlVerb.NEIGHBOR: {"neighbour": 0.0, "neighbour_ms": 0.0},
    ControlVerb.PAUSES: {"pause_ms": 0.0, "pause_every_ms": 0.0},
    ControlVerb.FAST_ERRORS: {"errors": 0.0},
}
"""The values that end a fault of the machine, by its verb."""


class FaultController:
    """Carries out the lab's control verbs.

    Args:
        context: The connections, the requests and the network of the storage node.
        registration: Where a draining storage node reports that it is.
        events: Where events are written.
    """

    def __init__(self, context: ConnectionContext, registration: Registration, events: EventLog | NullEventLog) -> None:
        self._context = context
        self._requests = context.requests
        self._registration = registration
        self._events = events
        self._handlers: dict[str, Callable[[Values, bool], None]] = {
            ControlVerb.RESETS: self._set_resets,
            ControlVerb.GARBLE: self._set_garbled_frames,
            ControlVerb.LOST_RESPONSES: self._set_lost_responses,
            ControlVerb.HALF_OPEN: self._set_half_open,
            ControlVerb.DRAIN: self._set_draining,
        }

    def control(self, verb: str, values: Values) -> str:
        """Injects a fault, ends one, or returns statistics.

        Args:
            verb: A word of `ControlVerb`.
            values: The arguments; a true `off` ends the fault.

        Returns:
            `done`, or the statistics.

        Raises:
            ControlError: The verb is unknown, or a value is missing or malformed.
        """
        now = self._requests.read_clock()
        ends = bool(values.get(ENDS, 0))
        self._events.note(now, "control", verb=verb, values=values)
        if verb == ControlVerb.STATS:
            return self._statistics()
        try:
            if verb in MACHINE_FAULTS:
                self._set_machine_faults(now, verb, AT_REST[verb] if ends else values)
            elif verb in self._handlers:
                self._handlers[verb](values, ends)
            else:
                raise ControlError(f"{verb!r} is not known")
        except (KeyError, TypeError, ValueError) as error:
            raise ControlError(str(error)) from error
        return DONE

    def _set_machine_faults(self, now: float, verb: str, values: Values) -> None:
        machine = self._requests.machine
        faults = MACHINE_FAULTS[verb](machine.faults, values)
        self._requests.end_jobs(machine.set_faults(now, faults))
        self._requests.set_timer()

    def _set_resets(self, values: Values, ends: bool) -> None:
        self._requests.network.resets = _probability(values, ends)

    def _set_garbled_frames(self, values: Values, ends: bool) -> None:
        self._requests.network.garbled_frames = _probability(values, ends)

    def _set_lost_responses(self, values: Values, ends: bool) -> None:
        self._requests.network.lost_responses = _probability(values, ends)

    def _set_half_open(self, values: Values, ends: bool) -> None:
        """Turns the connections that stand half open, as a link that is cut in the middle; new ones are well."""
        for connection in self._context.connections:
            if connection.is_gateway:
                connection.is_half_open = not ends

    def _set_draining(self, values: Values, ends: bool) -> None:
        self._requests.is_draining = not ends
        self._registration.report(ReportedState.READY if ends else ReportedState.DRAINING)

    def _statistics(self) -> str:
        machine = self._requests.machine
        crashed = int(machine.has_crashed)
        peak = machine.cold_budget.peak_load
        return f"effects={self._requests.effects.count} worst_fill={peak:.3f} fell={crashed} speed={machine.speed:.3f}"


def _probability(values: Values, ends: bool) -> float:
    return 0.0 if ends else float(values["by"])
