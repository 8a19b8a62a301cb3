"""Between a gateway's versions and whoever acts on them: nothing is acted on before it is persisted."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple, Protocol

from pebblehinge.replicated_config.application_types import Checkpoint
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings import Config
from pebblehinge.store.background import BackgroundRunner

EXPIRY_MARGIN_S = 0.001  # a timer may fire a little early

Adopt = Callable[[Config, str], None]  # acts on settings from now on, in a mode
Persist = Callable[[bytes], None]  # raises OSError if the bytes can't be kept


class Logger(Protocol):
    """A structured log."""

    def info(self, event: str, **values: object) -> object:
        """An event that is no fault."""

    def error(self, event: str, **values: object) -> object:
        """A fault."""


class PublishedState(NamedTuple):
    """What was handed on last, as far as it tells one configuration from another."""

    active: int
    pending: int
    mode: str
    reservations: str


class ConfigPublisher:
    """Calls `adopt` whenever what the gateway is to act on has changed, a lease that expires included."""

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
        """One gateway's.

        Args:
            loop: runs the timer of the lease.
            clock: milliseconds.
            application: the versions.
            adopt: acts on what is published.
            persist: keeps bytes over restarts; may raise OSError.
            log: hears of versions and of faults.
            run_in_background: calls `persist` without holding the loop.
            on_committed: hears that something was persisted and applied, and whether more has come meanwhile.
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
        self.grant_skipped = False  # another grant came while one was being persisted
        self.persist_error = ""  # why the last could not be persisted
        self.closed = False

    def close(self) -> None:
        """Publishes nothing more."""
        self.closed = True
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()

    def persist_then_commit(self, checkpoint: Checkpoint) -> None:
        """Withholds what came since the checkpoint until it is persisted; the loop goes on meanwhile."""
        data = self.application.dump()
        applied_state = self.application.withhold(checkpoint)
        self.grant_skipped = self.is_persisting
        if not self.is_persisting:
            self.is_persisting = True
            self.run_in_background(lambda: self.persist(data), lambda error: self._on_persisted(error, applied_state))

    def _on_persisted(self, error: BaseException | None, applied_state: Checkpoint) -> None:
        self.is_persisting = False
        if error is not None:
            if self.persist_error != str(error):  # it comes again with each renewal: logged once
                self.persist_error = str(error)
                self.log.error("a version can't be kept and is not taken up", why=self.persist_error)
            return
        self.persist_error = ""
        if self.closed:
            return
        self.application.commit(applied_state)
        self.publish()
        grant_skipped, self.grant_skipped = self.grant_skipped, False
        self.on_committed(grant_skipped)

    def publish(self) -> None:
        """Hands on what to act on now, and comes again when the lease expires."""
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
