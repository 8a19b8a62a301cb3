"""Publishes a gateway's versions to the code that acts on them, and only once they are persisted."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple, Protocol

from pebblehinge.replicated_config.application_types import Checkpoint
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings import Config
from pebblehinge.store.background import BackgroundRunner

EXPIRY_MARGIN_S = 0.001  # a timer may fire slightly early

Adopt = Callable[[Config, str], None]  # puts settings in force, in a mode
Persist = Callable[[bytes], None]  # raises OSError if the bytes can't be stored


class Logger(Protocol):
    """A structured logger."""

    def info(self, event: str, **values: object) -> object:
        """Logs an event that is no fault."""

    def error(self, event: str, **values: object) -> object:
        """Logs a fault."""


class PublishedState(NamedTuple):
    """The values that distinguish a published configuration from the next one."""

    active: int
    pending: int
    mode: str
    reservations: str


class ConfigPublisher:
    """Calls `adopt` whenever the gateway's effective configuration changes, also by the expiry of its lease."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        application: VersionApplication,
        adopt: Adopt,
        persist: Persist,
        log: Logger,
        run_in_background: BackgroundRunner,
        on_committed: Callable[[bool], None],
    ) -> None:
        """Creates the publisher of one gateway.

        Args:
            loop: Runs the timer of the lease's expiry.
            clock: Returns the time in milliseconds.
            application: The gateway's versions.
            adopt: Puts in force what is published.
            persist: Stores bytes across restarts; may raise OSError.
            log: Logs versions and faults.
            run_in_background: Calls `persist` without blocking the loop.
            on_committed: Called once a grant was persisted and applied, with whether another one was skipped meanwhile.
        """
        self.loop = loop
        self.clock = clock
        self.application = application
        self.adopt = adopt
        self.persist = persist
        self.log = log
        self.run_in_background = run_in_background
        self.on_committed = on_committed
        self.last_published: PublishedState | None = None
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.is_persisting = False
        self.grant_skipped = False  # a grant that came while another was being persisted was not persisted
        self.persist_error = ""  # why the last grant could not be persisted
        self.closed = False

    def close(self) -> None:
        """Stops publishing."""
        self.closed = True
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()

    def persist_then_commit(self, checkpoint: Checkpoint) -> None:
        """Withholds all changes since the checkpoint until they are persisted, without blocking the loop."""
        data = self.application.dump()
        applied_state = self.application.withhold(checkpoint)
        self.grant_skipped = self.is_persisting
        if not self.is_persisting:
            self.is_persisting = True
            self.run_in_background(lambda: self.persist(data), lambda error: self._on_persisted(error, applied_state))

    def _on_persisted(self, error: BaseException | None, applied_state: Checkpoint) -> None:
        self.is_persisting = False
        if error is not None:
            if self.persist_error != str(error):  # logged once, although it recurs with each renewal
                self.persist_error = str(error)
                self.log.error("a version can't be kept on disk and is not applied", why=self.persist_error)
            return
        self.persist_error = ""
        if self.closed:
            return
        self.application.commit(applied_state)
        self.publish()
        grant_skipped, self.grant_skipped = self.grant_skipped, False
        self.on_committed(grant_skipped)

    def publish(self) -> None:
        """Publishes the effective configuration if it has changed, and schedules itself for the expiry of the lease."""
        application = self.application
        config, mode = application.effective_config(self.clock())
        current = PublishedState(application.active, application.pending, mode, repr(application.reservations))
        previous = self.last_published
        if config is not None and current != previous:
            if previous is None or previous.mode != mode or previous.active != current.active:
                self.log.info("configuration", version=current.active, pending=current.pending, mode=mode)
            self.last_published = current
            self.adopt(config, mode)
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        remaining_ms = application.lease_expires_ms - self.clock()
        if remaining_ms > 0:
            self.expiry_timer = self.loop.call_later(remaining_ms / 1000.0 + EXPIRY_MARGIN_S, self.publish)
