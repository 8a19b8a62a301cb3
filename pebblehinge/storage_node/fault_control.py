"""Injection and removal of faults, as the lab requests in control frames."""

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

ControlValues = Mapping[str, Any]
"""Values of a control frame, by their keys on the wire."""

OFF_KEY = "off"
"""Key of the value that, if true, ends a fault."""

DONE_RESPONSE = "done"
"""Response to a verb that was executed and returns no data."""


class ControlVerb(StrEnum):
    """What the lab can request; the value is the verb on the wire."""

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


def _fault_value(values: ControlValues, key: str) -> float:
    """Returns a value of a machine fault, 1 if it is missing."""
    return float(values.get(key, True))


def _with_slowdown(faults: MachineFaults, values: ControlValues) -> MachineFaults:
    return replace(faults, slowdown=_fault_value(values, "slow"))


def _with_hang(faults: MachineFaults, values: ControlValues) -> MachineFaults:
    return replace(faults, is_hung=bool(values.get("hang", True)))


def _with_neighbor(faults: MachineFaults, values: ControlValues) -> MachineFaults:
    share, period_ms = _fault_value(values, "neighbour"), _fault_value(values, "neighbour_ms")
    return replace(faults, neighbor_share=share, neighbor_period_ms=period_ms)


def _with_pauses(faults: MachineFaults, values: ControlValues) -> MachineFaults:
    pause_ms, interval_ms = _fault_value(values, "pause_ms"), _fault_value(values, "pause_every_ms")
    return replace(faults, pause_ms=pause_ms, pause_interval_ms=interval_ms)


def _with_errors(faults: MachineFaults, values: ControlValues) -> MachineFaults:
    return replace(faults, error_share=_fault_value(values, "errors"))


MACHINE_FAULT_CHANGES: dict[str, Callable[[MachineFaults, ControlValues], MachineFaults]] = {
    ControlVerb.SLOW: _with_slowdown,
    ControlVerb.HANG: _with_hang,
    ControlVerb.NEIGHBOR: _with_neighbor,
    ControlVerb.PAUSES: _with_pauses,
    ControlVerb.FAST_ERRORS: _with_errors,
}
"""How each verb changes the machine's faults."""

NO_FAULT_VALUES: dict[str, ControlValues] = {
    ControlVerb.SLOW: {"slow": 1.0},
    ControlVerb.HANG: {"hang": False},
    ControlVerb.NEIGHBOR: {"neighbour": 0.0, "neighbour_ms": 0.0},
    ControlVerb.PAUSES: {"pause_ms": 0.0, "pause_every_ms": 0.0},
    ControlVerb.FAST_ERRORS: {"errors": 0.0},
}
"""The values with which each verb ends its fault."""


class FaultController:
    """Handler of the lab's control verbs.

    Args:
        context: The storage node's connections and request handler.
        registration: The registration, which reports whether the storage node is draining.
        events: The event log.
    """

    def __init__(self, context: ConnectionContext, registration: Registration, events: EventLog | NullEventLog) -> None:
        self._context = context
        self._requests = context.requests
        self._registration = registration
        self._events = events
        self._handlers: dict[str, Callable[[ControlValues, bool], None]] = {
            ControlVerb.RESETS: self._set_resets,
            ControlVerb.GARBLE: self._set_garbled_frames,
            ControlVerb.LOST_RESPONSES: self._set_lost_responses,
            ControlVerb.HALF_OPEN: self._set_half_open,
            ControlVerb.DRAIN: self._set_draining,
        }

    def control(self, verb: str, values: ControlValues) -> str:
        """Injects a fault, ends one, or returns statistics.

        Args:
            verb: A value of `ControlVerb`.
            values: The verb's arguments; a true `off` ends the fault.

        Returns:
            `DONE_RESPONSE`, or the statistics.

        Raises:
            ControlError: The verb is unknown, or a value is missing or malformed.
        """
        now_ms = self._requests.read_clock()
        is_off = bool(values.get(OFF_KEY, 0))
        self._events.note(now_ms, "control", verb=verb, values=values)
        if verb == ControlVerb.STATS:
            return self._statistics()
        try:
            if verb in MACHINE_FAULT_CHANGES:
                self._set_machine_faults(now_ms, verb, NO_FAULT_VALUES[verb] if is_off else values)
            elif verb in self._handlers:
                self._handlers[verb](values, is_off)
            else:
                raise ControlError(f"{verb!r} is not known")
        except (KeyError, TypeError, ValueError) as error:
            raise ControlError(str(error)) from error
        return DONE_RESPONSE

    def _set_machine_faults(self, now_ms: float, verb: str, values: ControlValues) -> None:
        machine = self._requests.machine
        faults = MACHINE_FAULT_CHANGES[verb](machine.faults, values)
        self._requests.complete_jobs(machine.set_faults(now_ms, faults))
        self._requests.set_timer()

    def _set_resets(self, values: ControlValues, is_off: bool) -> None:
        self._requests.network.reset_probability = _probability(values, is_off)

    def _set_garbled_frames(self, values: ControlValues, is_off: bool) -> None:
        self._requests.network.garble_probability = _probability(values, is_off)

    def _set_lost_responses(self, values: ControlValues, is_off: bool) -> None:
        self._requests.network.response_loss_probability = _probability(values, is_off)

    def _set_half_open(self, values: ControlValues, is_off: bool) -> None:
        """Makes the present connections of gateways half open, or ends that; new connections are not affected."""
        for connection in self._context.connections:
            if connection.is_gateway:
                connection.is_half_open = not is_off

    def _set_draining(self, values: ControlValues, is_off: bool) -> None:
        self._requests.is_draining = not is_off
        self._registration.report(ReportedState.READY if is_off else ReportedState.DRAINING)

    def _statistics(self) -> str:
        machine = self._requests.machine
        crashed = int(machine.has_crashed)
        peak = machine.cold_budget.peak_load
        return f"effects={self._requests.effects.count} worst_fill={peak:.3f} fell={crashed} speed={machine.speed:.3f}"


def _probability(values: ControlValues, is_off: bool) -> float:
    return 0.0 if is_off else float(values["by"])
