"""A gateway's client of the group: renews its lease with the leader, and applies what is granted.

At most one renewal is in flight, and at most one timer runs besides the heartbeat's. Whatever asks for a renewal while
one is in flight causes a single further one.
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

MAX_LEADERLESS_GRANTS = 3  # grants without a known leader, before another member is tried
MAX_SILENT_HEARTBEATS = 3  # heartbeats without an answer, before another member is tried
NO_REJECTION = Rejection(0, "")
NEVER_MS = float("-inf")


class ConfigWatcher:
    """Renews the lease at each heartbeat, at each watch event, and when a version has been applied."""

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
        """Creates the watcher of one gateway.

        Args:
            loop: Runs timers and connections.
            clock: Returns the time in milliseconds.
            config: Names the members and the group's intervals.
            application: The gateway's versions, as its last incarnation stored them.
            adopt: Called with settings and mode whenever the effective configuration has changed.
            persist: Called before anything is acknowledged, so that a restart knows the last version. If it raises
                OSError, nothing is applied.
            log: Logs versions and faults.
            run_in_background: Calls `persist` without blocking the loop.
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
        self.rng = random.Random(application.gateway)  # spreads gateways that reconnect at the same time
        self.connection: OutboundConnection | None = None
        self.heartbeat_timer: asyncio.TimerHandle | None = None
        self.retry_timer: asyncio.TimerHandle | None = None  # runs a delayed renewal or connection
        self.closed = False
        self.last_answer_ms = 0.0
        self.last_renewal_ms = NEVER_MS  # when the last renewal was sent
        self.last_renewal_version = -1  # the version that it acknowledged
        self.token_in_flight = 0  # of the renewal in flight; 0 for none
        self.renewal_queued = False  # renew again as soon as it is answered
        self.backoff_ms = self.group.tick  # delay of the next one while the group makes no progress
        self.leaderless_grants = 0

    def start(self) -> None:
        """Publishes the stored versions, and connects."""
        self.last_answer_ms = self.clock()
        self.publisher.publish()
        self._on_heartbeat()

    def close(self) -> None:
        """Stops renewing and publishing, and closes the connection."""
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
            connection.abort()  # this member does not answer; another one may
            self._reset()
        elif not self.token_in_flight and now - self.last_renewal_ms >= interval_ms / 2:
            self.renew()

    def request_renewal(self) -> None:
        """Renews now, or as soon as the renewal in flight is answered."""
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
        """Drops the renewal in flight, the queued one and the delayed action."""
        self.token_in_flight = 0
        self.renewal_queued = False
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None

    def _schedule_retry(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Runs an action after a delay, unless another one is scheduled already."""

        def run() -> None:
            self.retry_timer = None
            action()

        if self.retry_timer is None and not self.closed:
            self.retry_timer = self.loop.call_later(delay_ms / 1000.0, run)

    def _back_off(self) -> None:
        """Renews after a delay that doubles up to a heartbeat's interval, with a jitter of a quarter."""
        self._schedule_retry(self.backoff_ms * self.rng.uniform(0.75, 1.25), self.request_renewal)
        self.backoff_ms = min(2 * self.backoff_ms, self.group.renew)

    # ---- connections

    def _connect(self) -> None:
        if self.connection is None and not self.closed:
            self.dialer.connect()

    def on_connected(self, connection: OutboundConnection) -> None:
        """Renews the lease over a new connection."""
        if self.closed or self.connection is not None:  # a dial succeeded although it had been given up
            connection.close()
            return
        self.connection = connection
        self.last_answer_ms = self.clock()
        self.leaderless_grants = 0
        self.renew()

    def on_connection_lost(self, connection: OutboundConnection) -> None:
        """Reconnects after a redirect; without one the next heartbeat does, and gateways' heartbeats are spread."""
        if self.connection is not connection:
            return
        self.connection = None
        self._reset()
        if self.dialer.redirect_address:
            # A leader that steps down redirects all gateways at once: they reconnect spread over half a heartbeat.
            self._schedule_retry(self.rng.uniform(0.0, self.group.renew / 2), self._connect)

    # ---- events and grants

    def on_watch_event(self) -> None:
        """Renews the lease, since the active or the pending version has changed."""
        self.request_renewal()

    def on_grant(self, grant: Grant) -> None:
        """Applies a grant, or handles one that names no version."""
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
            self._back_off()  # acknowledged without a lease: the group has made no progress
        self.publisher.publish()
        if self.renewal_queued and not self.token_in_flight:
            self.renew()

    def _on_grant_without_version(self, leader: str) -> None:
        """Follows a redirect, or backs off: the member knows no version or leader, or has too many renewals waiting."""
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
                self.connection.close()  # the member may be partitioned off: the next heartbeat tries another one
            else:
                self._back_off()

    def _on_committed(self, grant_skipped: bool) -> None:
        """Acknowledges at once what was applied, or fetches the grant that was skipped."""
        if grant_skipped or self.application.acknowledged_version != self.last_renewal_version:
            self.request_renewal()
