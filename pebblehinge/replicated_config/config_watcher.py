"""A gateway's way to the group: renews its lease with whichever member leads, and applies what is granted.

At most one renewal is out, and one timer runs beside the heartbeat; what comes up meanwhile makes one more renewal.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from pebblehinge.replicated_config.application_types import Grant, Rejection
from pebblehinge.replicated_config.config_publisher import Adopt, ConfigPublisher, Logger, Persist
from pebblehinge.replicated_config.member_dialer import MemberDialer, OutboundConnection
from pebblehinge.replicated_config.size_limits import with_group_frame_limit
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings import Config
from pebblehinge.store.background import BackgroundRunner, run_inline
from pebblehinge.wire import Kind

MAX_LEADERLESS_GRANTS = 3  # before another member is tried
MAX_SILENT_HEARTBEATS = 3  # without any answer, before another member is tried
NO_REJECTION = Rejection(0, "")
NEVER_MS = float("-inf")


class ConfigWatcher:
    """Renews at each heartbeat, at each watch event, and as something was applied."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        application: VersionApplication,
        adopt: Adopt,
        persist: Persist,
        log: Logger,
        run_in_background: BackgroundRunner = run_inline,
    ) -> None:
        """One gateway's.

        Args:
            loop: runs timers and connections.
            clock: milliseconds.
            config: names the members, and how the group keeps time.
            application: the gateway's versions, as of its last life.
            adopt: called with settings and mode whenever what the gateway is to act on has changed.
            persist: called before anything is acknowledged, so that a restart knows the last version. If it raises
                OSError, nothing is applied.
            log: hears of versions and of faults.
            run_in_background: calls `persist` without holding the loop.
        """
        self.loop = loop
        self.clock = clock
        self.group = config.group
        self.application = application
        self.publisher = ConfigPublisher(
            loop, clock, application, adopt, persist, log, run_in_background, on_committed=self._on_committed
        )
        addresses = [block.listen for block in config.member.values()]
        limits = with_group_frame_limit(config).limits
        self.dialer = MemberDialer(loop, application.gateway, addresses, limits, self)
        self.rng = random.Random(application.gateway)  # spreads gateways that come back together
        self.connection: OutboundConnection | None = None
        self.heartbeat_timer: asyncio.TimerHandle | None = None
        self.retry_timer: asyncio.TimerHandle | None = None  # a renewal or connection after a pause
        self.closed = False
        self.last_answer_ms = 0.0
        self.last_renewal_ms = NEVER_MS  # when the last renewal left
        self.last_renewal_version = -1  # what it acknowledged
        self.token_in_flight = 0  # of the renewal that is out
        self.renewal_queued = False  # something came up since it left
        self.backoff_ms = self.group.tick  # before the next one if the group has not got on
        self.leaderless_grants = 0

    def start(self) -> None:
        """Publishes what is known, and connects."""
        self.last_answer_ms = self.clock()
        self.publisher.publish()
        self._on_heartbeat()

    def close(self) -> None:
        """Stops for good."""
        self.closed = True
        self.dialer.close()
        self.publisher.close()
        for timer in (self.heartbeat_timer, self.retry_timer):
            if timer is not None:
                timer.cancel()
        if self.connection is not None:
            self.connection.close()

    # ---- renewals

    def _on_heartbeat(self) -> None:
        interval_ms, now = self.group.renew, self.clock()
        self.heartbeat_timer = self.loop.call_later(interval_ms / 1000.0, self._on_heartbeat)
        if self.connection is None:
            self._connect()
        elif now - self.last_answer_ms > MAX_SILENT_HEARTBEATS * interval_ms:
            connection, self.connection = self.connection, None
            connection.abort()  # it does not answer: another member may
            self._reset()
        elif not self.token_in_flight and now - self.last_renewal_ms >= interval_ms / 2:
            self.renew()

    def request_renewal(self) -> None:
        """Renews now, or as soon as the renewal that is out is answered."""
        if self.token_in_flight:
            self.renewal_queued = True
        else:
            self.renew()

    def renew(self) -> None:
        """Sends a renewal, if there is a connection."""
        if self.connection is None:
            return
        application = self.application
        self._reset()
        token = application.begin_renewal(self.clock())
        self.token_in_flight = token
        self.last_renewal_ms = self.clock()
        self.last_renewal_version = application.acknowledged_version
        rejection = application.rejection or NO_REJECTION
        known_version = max(application.texts, default=0)
        self.connection.send(
            Kind.RENEW,
            token,
            application.gateway,
            application.acknowledged_version,
            known_version,
            rejection.version,
            rejection.reason,
        )

    def _reset(self) -> None:
        """Nothing is out, and nothing is to follow."""
        self.token_in_flight = 0
        self.renewal_queued = False
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None

    def _schedule_retry(self, delay_ms: float, action: Callable[[], None]) -> None:
        """After a pause, unless something waits for one already."""

        def run() -> None:
            self.retry_timer = None
            action()

        if self.retry_timer is None and not self.closed:
            self.retry_timer = self.loop.call_later(delay_ms / 1000.0, run)

    def _back_off(self) -> None:
        """Renews after a pause that grows up to a heartbeat, jittered by a quarter."""
        self._schedule_retry(self.backoff_ms * self.rng.uniform(0.75, 1.25), self.request_renewal)
        self.backoff_ms = min(2 * self.backoff_ms, self.group.renew)

    # ---- connections

    def _connect(self) -> None:
        if self.connection is None and not self.closed:
            self.dialer.connect()

    def on_connected(self, connection: OutboundConnection) -> None:
        """A connection may be written to."""
        if self.closed or self.connection is not None:  # one that was given up came after all
            connection.close()
            return
        self.connection = connection
        self.last_answer_ms = self.clock()
        self.leaderless_grants = 0
        self.renew()

    def on_connection_lost(self, connection: OutboundConnection) -> None:
        """Without a redirect the next heartbeat finds a member: gateways beat at times of their own."""
        if self.connection is not connection:
            return
        self.connection = None
        self._reset()
        if self.dialer.redirect_address:
            # All that a leader loses are redirected at once: they come spread over half a heartbeat.
            self._schedule_retry(self.rng.uniform(0.0, self.group.renew / 2), self._connect)

    # ---- what the group says

    def on_watch_event(self) -> None:
        """The versions in force have changed."""
        self.request_renewal()

    def on_grant(self, grant: Grant) -> None:
        """A renewal is answered."""
        self.last_answer_ms = self.clock()
        if grant.token == self.token_in_flight:
            self.token_in_flight = 0
        if not grant.has_version:
            self._on_grant_without_version(grant.leader)
            return
        self.leaderless_grants = 0
        if grant.lease_ms:
            self.backoff_ms = self.group.tick
        checkpoint = self.application.checkpoint()
        if self.application.apply_grant(grant):
            self.publisher.persist_then_commit(checkpoint)
        elif not grant.lease_ms and self.application.acknowledged_version >= grant.active:
            self._back_off()  # it is acknowledged, and the group has not got on
        self.publisher.publish()
        if self.renewal_queued and not self.token_in_flight:
            self.renew()

    def _on_grant_without_version(self, leader: str) -> None:
        """No version: there is none yet, or this member does not lead, or too much waits there."""
        if self.connection is None:
            return
        if leader and leader != self.connection.address:
            self.dialer.redirect_address = leader
            self.connection.close()
        elif leader:
            self._back_off()
        elif self.application.active:
            self.leaderless_grants += 1
            if self.leaderless_grants >= MAX_LEADERLESS_GRANTS:
                self.connection.close()  # it may be cut off from the others: the next heartbeat tries another one
            else:
                self._back_off()

    def _on_committed(self, grant_skipped: bool) -> None:
        """What was applied is acknowledged at once."""
        if grant_skipped or self.application.acknowledged_version != self.last_renewal_version:
            self.request_renewal()
