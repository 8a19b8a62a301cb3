"""One gateway in service: connects clients, storage nodes and discovery to the request table."""

from __future__ import annotations

import asyncio
import gc
import random
import time
from collections.abc import Callable
from dataclasses import replace
from typing import cast

from pebblehinge.core import FinalStatus, PendingRequest, RequestTable
from pebblehinge.decide import MAX_CACHE_ENTRIES
from pebblehinge.interface import DiscoveryCall, EndpointState, ListKind, Outcome
from pebblehinge.platform_settings import PlatformSettingsError
from pebblehinge.service.client_request import ClientRequest
from pebblehinge.service.config import ServiceConfig, load_config
from pebblehinge.service.connection_pools import ConnectionPools
from pebblehinge.service.connection_registry import ConnectionRegistry
from pebblehinge.service.discovery import DiscoveryWatch
from pebblehinge.service.lateness import Lateness
from pebblehinge.service.listener import Listener
from pebblehinge.service.memory_budget import MIB
from pebblehinge.service.node_list import NodeListUpdate
from pebblehinge.service.response_flow import ResponseFlow
from pebblehinge.service.service_log import ServiceLog
from pebblehinge.service.service_shutdown import ServiceShutdown
from pebblehinge.service.summary import Summary

CHECK_INTERVAL_S = 0.1  # Time between checks for connections whose time is over.
RESERVED_SOCKETS = 24  # Descriptors of the process itself, including the connections to discovery.
NODE_SOCKET_FRACTION = 3 / 8  # Part of the descriptors for connections to storage nodes.
CLIENT_MEMORY_SHARE = 1 / 30  # Part of the memory limit for client connections that hold nothing.
CONNECTION_BYTES = 3500  # Memory of one.
INITIAL_LIST_DELAY_MS = 500.0  # Time until the gateway is ready with only the configured node list.
NO_LIST_DELAY_MS = 5000.0  # Time until it is ready without any list; the platform expects readiness within 10 s.
SUMMARY_INTERVAL_S = 5.0  # Time between summaries in the log.
TIMER_ROUNDING_S = 0.0005  # Added to delays: the loop rounds times, and a timer might fire just before its time.
REST_MEMORY_MB = 24  # What the process takes at rest, about.
CACHE_ENTRIES_PER_MB = 128  # Extents, and volumes, that are remembered for each MiB of the limit beyond that.
MIN_CACHE_ENTRIES = 512
SEED_MASK = 0x5EED  # Gives the discovery watch another random sequence than the scheduler.


def make_clock() -> Callable[[], float]:
    """Returns a monotonic clock in milliseconds that starts at the Unix time of this call."""
    offset_s = time.time() - time.monotonic()
    return lambda: (time.monotonic() + offset_s) * 1000.0


class Service:
    """One running gateway, which carries out the effects of its request table.

    Attributes:
        has_discovery_list: Whether discovery itself has sent a node list.
        wake_timer: Timer that wakes the request table, or None.
        wake_ms: Clock time of that timer, infinite if there is none.
        stopped_future: Done once the shutdown has finished.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: ServiceConfig,
        path: str = "",
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.loop = loop
        self.config = config
        self.path = path
        self.clock = clock or make_clock()
        self.started_ms = self.clock()
        self.service_log = ServiceLog()
        self.lateness = Lateness(loop)
        self.registry = ConnectionRegistry(self)
        self.response_flow = ResponseFlow(loop, self.registry.memory_budget, self.registry.free_memory)
        self.pools = ConnectionPools(self, config.idle_timeout_ms, config.connect_timeout_ms, self.response_flow)
        self.listener = Listener(self)
        self.core = RequestTable(config.settings, config.seed, self.started_ms, self)
        cache_entries = CACHE_ENTRIES_PER_MB * (config.memory_limit_mb - REST_MEMORY_MB)
        self.core.scheduler.limit_caches(min(MAX_CACHE_ENTRIES, max(MIN_CACHE_ENTRIES, cache_entries)))
        self.summary = Summary(self.core, self.registry, self.pools, self.lateness)
        rng = random.Random(config.seed ^ SEED_MASK)
        self.watch = DiscoveryWatch(loop, config.discovery_address, rng, self._receive_update, self.log)
        self.has_discovery_list = False
        self.wake_timer: asyncio.TimerHandle | None = None
        self.wake_ms = float("inf")
        self.stopped_future: asyncio.Future[None] = loop.create_future()
        self.shutdown = ServiceShutdown(self)
        self._divide_sockets()

    def log(self, event: str, **fields: object) -> None:
        """Writes an event to the log."""
        self.service_log.write(self.config.name, (self.clock() - self.started_ms) / 1000.0, event, fields)

    @property
    def lateness_ms(self) -> float:
        """How long bytes that are read now may have been unread, in milliseconds."""
        return self.lateness.current_ms

    @property
    def spare_descriptors(self) -> int:
        """Descriptors for connections to storage nodes that are not in use."""
        return max(0, self.pools.max_connections - self.pools.connection_count - self.pools.dialing_count)

    def _divide_sockets(self) -> None:
        """Divides the descriptors between client connections and connections to storage nodes."""
        max_sockets = self.config.max_sockets
        self.pools.max_connections = int(max_sockets * NODE_SOCKET_FRACTION)
        connection_memory = int(CLIENT_MEMORY_SHARE * self.config.memory_limit_mb * MIB)
        self.listener.max_connections = min(
            max_sockets - self.pools.max_connections - RESERVED_SOCKETS,
            max(connection_memory // CONNECTION_BYTES, max_sockets // 3),  # Sound clients hold a third at most.
        )

    # ---- start and configuration

    async def start(self) -> None:
        """Starts the listener, the watch of discovery and the timers; raises OSError if it can't listen."""
        if self.config.initial_node_list is not None:
            try:
                self._apply_node_list(NodeListUpdate(self.config.initial_node_list))
            except PlatformSettingsError as error:
                self.log("configured node list is invalid", error=error)
            self.config = replace(self.config, initial_node_list=None)  # It may be large, and is not needed again.
        self.core.start(self.clock())
        self.watch.start()
        self.listener.open(self.config.listen_address)
        self.loop.call_later(CHECK_INTERVAL_S, self._run_checks)
        self.lateness.start()
        self.loop.call_later(SUMMARY_INTERVAL_S, self._log_summary_periodically)
        gc.collect()
        gc.freeze()
        self.registry.memory_budget.memory.release_free()
        self.registry.measure_memory(self.clock())

    def is_ready(self) -> bool:
        """Returns whether the gateway listens and has a node list: discovery's, or after a delay the configured one.

        Without any list it is ready after a longer delay, and rejects requests with Retry-After: better than no answer.
        """
        uptime_ms = self.clock() - self.started_ms
        if not self.listener.is_open or not self.pools.nodes:
            return self.listener.is_open and uptime_ms > NO_LIST_DELAY_MS
        return self.has_discovery_list or uptime_ms > INITIAL_LIST_DELAY_MS

    def reload(self) -> None:
        """Reads the configuration file again (on SIGHUP); if it is invalid, the current configuration stays."""
        try:
            config = load_config(self.path)
        except PlatformSettingsError as error:
            self.log("new configuration rejected", error=error)
            return
        old_config = self.config
        self.config = replace(config, initial_node_list=None)
        self._divide_sockets()
        self.registry.set_memory_limit(config.memory_limit_mb)
        self.pools.idle_timeout_ms = config.idle_timeout_ms
        self.pools.connect_timeout_ms = config.connect_timeout_ms
        if config.settings != old_config.settings:
            self.core.configure(self.clock(), config.settings)
        self.watch.change_address(config.discovery_address)
        if config.listen_address != old_config.listen_address:
            self.log("listen address changes at the next start")
        self.log("configuration reloaded")

    def stop(self) -> None:
        """Closes everything at the end of the shutdown, and completes `stopped_future`."""
        self.listener.close()
        self._log_summary()
        self.log("stopped", open=self.core.open_count)
        self.watch.stop()
        self.pools.stop()
        if not self.stopped_future.done():
            self.stopped_future.set_result(None)

    # ---- effects of the request table; see `Effects`

    def send_attempt(self, pending: PendingRequest, node: str, attempt: int, until_ms: float) -> None:
        """Starts an attempt."""
        self.pools.send(cast(ClientRequest, pending), node, attempt, until_ms)

    def cancel_attempt(self, pending: PendingRequest) -> None:
        """Cancels the attempt in flight."""
        self.pools.cancel(pending.attempt)

    def answer(
        self, pending: PendingRequest, final: FinalStatus, retry_after_ms: float, reason: str, data: bytes
    ) -> None:
        """Writes the final answer to the client."""
        self.registry.answer(pending, final, retry_after_ms, data)

    def call_discovery(self, call: DiscoveryCall) -> None:
        """Does nothing, as the watch of discovery is always open."""

    def wake_at(self, at_ms: float) -> None:
        """Schedules a wake-up of the request table, unless an earlier one is scheduled."""
        if at_ms < self.wake_ms:
            if self.wake_timer is not None:
                self.wake_timer.cancel()
            self.wake_ms = at_ms
            self.wake_timer = self.loop.call_later(
                max(0.0, at_ms - self.clock()) / 1000.0 + TIMER_ROUNDING_S, self._wake
            )

    def _wake(self) -> None:
        self.wake_timer = None
        self.wake_ms = float("inf")
        self.core.on_wake_up(self.clock())

    # ---- storage nodes, discovery and timers

    def begin_attempt(self, pending: ClientRequest) -> bool:
        """Returns whether an attempt of a request may begin now; if so, the request counts as one that may run."""
        return self.registry.begin_attempt(pending)

    def end_attempt(
        self, pending: PendingRequest, attempt: int, outcome: Outcome, duration_ms: float, data: bytes
    ) -> None:
        """Passes the outcome of an attempt to the request table."""
        self.core.on_attempt_end(self.clock(), pending, attempt, outcome, duration_ms, data)

    def _receive_update(self, update: NodeListUpdate) -> None:
        self.has_discovery_list = True
        self._apply_node_list(update)

    def _apply_node_list(self, update: NodeListUpdate) -> None:
        ready = {entry.node_name: entry.state is EndpointState.READY for entry in update.entries}
        self.pools.apply_node_list(ready, update.addresses, update.kind is ListKind.WHOLE)
        self.core.apply_endpoint_list(self.clock(), update.kind, update.entries)

    def _run_checks(self) -> None:
        self.loop.call_later(CHECK_INTERVAL_S, self._run_checks)
        now = self.clock()
        self.registry.measure_memory(now)
        self.response_flow.resume_paused()
        self.registry.close_expired(now)
        self.pools.close_expired(now)
        self.watch.check_silence()

    def _log_summary(self) -> None:
        increments = self.summary.increments()
        if increments:
            self.log("summary", **increments, **self.summary.gauges())

    def _log_summary_periodically(self) -> None:
        self.loop.call_later(SUMMARY_INTERVAL_S, self._log_summary_periodically)
        self._log_summary()
