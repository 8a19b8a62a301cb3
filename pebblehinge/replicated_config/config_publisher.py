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


class Log(Protocol):
    """A structured log."""

    def info(self, event: str, **values: object) -> object:
        """An event that is no fault."""

    def error(self, event: str, **values: object) -> object:
        """A fault."""


class Published(NamedTuple):
    """What was handed on last, as far as it tells one configuration from another."""

    active: int
    pending: int
    mode: str
    reserved: str


class ConfigPublisher:
    """Calls `adopt` whenever what the gateway is to act on has changed, a lease that expires included."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        application: VersionApplication,
        adopt: Adopt,
        persist: Persist,
        log: Log,
        beside: BackgroundRunner,
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
            beside: calls `persist` without holding the loop.
            on_committed: hears that something was persisted and applied, and whether more has come meanwhile.
        """
        self.loop = loop
        self.clock = clock
        self.application = application
        self.adopt = adopt
        self.persist = persist
        self.log = log
        self.beside = beside
        self.on_committed = on_committed
        self.published: Published | None = None
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.persisting = False
        self.superseded = False  # another grant came while one was being persisted
        self.failure = ""  # why the last could not be persisted
        self.closed = False

    def close(self) -> None:
        """Publishes nothing more."""
        self.closed = True
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()

    def persist_then_commit(self, checkpoint: Checkpoint) -> None:
        """Withholds what came since the checkpoint until it is persisted; the loop goes on meanwhile."""
        data = self.application.dump()
        applied = self.application.withhold(checkpoint)
        self.superseded = self.persisting
        if not self.persisting:
            self.persisting = True
            self.beside(lambda: self.persist(data), lambda error: self._on_persisted(error, applied))

    def _on_persisted(self, error: BaseException | None, applied: Checkpoint) -> None:
        self.persisting = False
        if error is not None:
            if self.failure != str(error):  # it comes again with each renewal: logged once
                self.failure = str(error)
                self.log.error("a version can't be kept and is not taken up", why=self.failure)
            return
        self.failure = ""
        if self.closed:
            return
        self.application.commit(applied)
        self.publish()
        superseded, self.superseded = self.superseded, False
        self.on_committed(superseded)

    def publish(self) -> None:
        """Hands on what to act on now, and comes again when the lease expires."""
        application = self.application
        config, mode = application.effective_config(self.clock())
        now = Published(application.active, application.pending, mode, repr(application.reserved))
        before = self.published
        if config is not None and now != before:
            if before is None or before.mode != mode or before.active != now.active:
                self.log.info("configuration", version=now.active, pending=now.pending, mode=mode)
            self.published = now
            self.adopt(config, mode)
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        left_ms = application.lease_until - self.clock()
        if left_ms > 0:
            self.expiry_timer = self.loop.call_later(left_ms / 1000.0 + EXPIRY_MARGIN_S, self.publish)
