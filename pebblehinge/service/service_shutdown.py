"""The graceful shutdown of the gateway in service: what each step does to its parts."""

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
    """What the shutdown needs of the gateway.

    Attributes:
        loop: The event loop.
        clock: Returns the time in ms.
        config: The configuration in force.
        core: The table of requests.
        registry: The clients' connections.
        listener: Accepts them.
    """

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    config: ServiceConfig
    core: RequestTable
    registry: ConnectionRegistry
    listener: Listener

    @property
    def lateness_ms(self) -> float:
        """For how long what is read now may have been unread."""

    @property
    def log(self) -> Log:
        """Writes an event to the log."""

    def stop(self) -> None:
        """Close what is left: nothing is owed any more."""


class ServiceShutdown:
    """Carries out the steps of `Shutdown`, for which it is the `ShutdownEffects`."""

    def __init__(self, context: ShutdownContext) -> None:
        self.context = context
        self.shutdown = Shutdown(self)

    def begin(self) -> None:
        """Drain: open connections are served as long as there is time to answer, then closed."""
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
        """Have all requests answered by a time."""
        self.context.registry.is_draining = True
        self.context.core.begin_shutdown(self.context.clock(), deadline_ms)

    def accept_queued_connections(self) -> bool:
        """Accept what waits in the listen queue; return whether anything did."""
        return self.context.listener.accept_queued_connections()

    def close_inactive_connections(self, reject_partial: bool) -> None:
        """Close connections with nothing open or unread; if `reject_partial`, those with part of a request too."""
        self.context.registry.close_inactive_connections(reject_partial)

    def count_unanswered_connections(self) -> int:
        """Return the number of connections on which an answer is, or may be, owed."""
        return self.context.registry.count_unanswered_connections(self.context.clock())

    def finish(self) -> None:
        """Stop: nothing is owed any more."""
        self.context.stop()
