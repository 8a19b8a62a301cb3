"""Carries out the steps of a graceful shutdown on the parts of the gateway in service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from pebblehinge.core import RequestTable
from pebblehinge.service.config import ServiceConfig
from pebblehinge.service.connection_registry import ConnectionRegistry
from pebblehinge.service.context import Log
from pebblehinge.service.listener import Listener
from pebblehinge.service.shutdown import Shutdown


class ShutdownContext(Protocol):
    """The parts of the gateway that the shutdown uses.

    Attributes:
        loop: The event loop.
        clock: Returns the clock time in milliseconds.
        config: The current configuration.
        core: The request table.
        registry: The registry of client connections.
        listener: The listening socket.
    """

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    config: ServiceConfig
    core: RequestTable
    registry: ConnectionRegistry
    listener: Listener

    @property
    def lateness_ms(self) -> float:
        """How long bytes that are read now may have been unread, in milliseconds."""

    @property
    def log(self) -> Log:
        """The function that writes an event to the log."""

    def stop(self) -> None:
        """Closes everything that is still open; no answer is owed any more."""


class ServiceShutdown:
    """Schedules the steps of `Shutdown` and implements its `ShutdownEffects`."""

    def __init__(self, context: ShutdownContext) -> None:
        self.context = context
        self.shutdown = Shutdown(self)

    def begin(self) -> None:
        """Begins the shutdown: open connections are served while there is time to answer, then closed."""
        context = self.context
        next_step_ms = self.shutdown.begin(context.clock(), context.lateness_ms, context.config.longest_wait_ms)
        if next_step_ms is not None:
            context.log("draining", open=context.core.open_count, clients=context.registry.connection_count)
            self._schedule_step(next_step_ms)

    def _step(self) -> None:
        next_step_ms = self.shutdown.step(self.context.clock())
        if next_step_ms is not None:
            self._schedule_step(next_step_ms)

    def _schedule_step(self, next_step_ms: float) -> None:
        delay_s = max(0.0, next_step_ms - self.context.clock()) / 1000.0
        self.context.loop.call_later(delay_s, self._step)

    # ---- effects; see `ShutdownEffects`

    def set_answer_deadline(self, deadline_ms: float) -> None:
        """Sets the clock time by which all requests must be answered."""
        self.context.registry.is_draining = True
        self.context.core.begin_shutdown(self.context.clock(), deadline_ms)

    def accept_queued_connections(self) -> bool:
        """Accepts connections that wait in the listen queue; returns whether there were any."""
        return self.context.listener.accept_queued_connections()

    def close_inactive_connections(self, reject_partial: bool) -> None:
        """Closes connections without an open request or unread data; rejects partial requests if `reject_partial`."""
        self.context.registry.close_inactive_connections(reject_partial)

    def count_unanswered_connections(self) -> int:
        """Returns the number of connections that may still owe an answer."""
        return self.context.registry.count_unanswered_connections(self.context.clock())

    def finish(self) -> None:
        """Stops the gateway, which owes no answer any more."""
        self.context.stop()
