"""An asyncio event loop in virtual time with an in-memory network: one process, one thread, no waiting, deterministic.

`VirtualLoop` advances the time to the next timer when no callback is ready. A `Node` is the event loop of one machine
of a fleet: its connections carry its name, so that links between two nodes can be delayed, cut, partitioned or slowed,
and the whole node can be killed or frozen. The code that runs on it uses it as an ordinary loop.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from pebblehinge.lab.memory_network import MemoryNetwork
from pebblehinge.lab.memory_transport import HIGH_WATER_BYTES, Listener, MemoryDatagramTransport, MemoryTransport

__all__ = ["HIGH_WATER_BYTES", "Node", "VirtualLoop"]

# Timers fire just after their time: converted to milliseconds and back, a time may lose its last bit.
TIMER_MARGIN_S = 1e-9


class _TimeAdvancingSelector:
    """Replaces the selector: where a real loop would wait, it advances the virtual time at once."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing is scheduled and nothing is ready: this virtual world has come to rest")
        if timeout > 0:
            self.loop.now = max(self.loop.now, self.loop.next_timer_time())
        return []

    def close(self) -> None:
        pass


class VirtualLoop(asyncio.BaseEventLoop):
    """Event loop whose time starts at `start` seconds and advances only when no callback is ready."""

    def __init__(self, start: float = 1000.0, seed: int = 0) -> None:
        super().__init__()
        self.now = start
        self._clock_resolution = 1e-9  # Runs a timer in the iteration in which it falls due.
        self._selector = _TimeAdvancingSelector(self)
        self.net = MemoryNetwork(self, seed)
        self.callback_errors: list[dict[str, Any]] = []
        self.set_exception_handler(lambda loop, context: self.callback_errors.append(context))

    def time(self) -> float:
        return self.now

    def next_timer_time(self) -> float:
        return self._scheduled[0].when() if self._scheduled else self.now

    def _process_events(self, event_list: list[Any]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def node(self, name: str) -> Node:
        return Node(self, name)


@dataclass(eq=False)
class Node:
    """One machine, and the event loop of the code on it. Killed, it runs nothing more; frozen, it queues its callbacks.

    `rate` is the seconds that its clock counts in one second of the simulation; `drift` changes it at run time.
    """

    loop: VirtualLoop
    name: str
    rate: float = 1.0
    dead: bool = False
    frozen: bool = False
    busy_until: float = 0.0  # a callback occupies the node until then: its other callbacks are queued
    pending: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = field(default_factory=deque)
    transports: dict[MemoryTransport, None] = field(default_factory=dict)
    tasks: dict[asyncio.Task, None] = field(default_factory=dict)
    listeners: list[Listener] = field(default_factory=list)
    datagram_ends: list[MemoryDatagramTransport] = field(default_factory=list)
    rate_began: float = 0.0  # simulation time when the rate was set; the next field is the node's clock then
    clock_at_rate_began: float = 0.0

    # ---- the event loop interface that programs use

    def time(self) -> float:
        return self.clock_at_rate_began + (self.loop.now - self.rate_began) * self.rate

    def call_soon(self, call: Callable[..., Any], *args: Any) -> asyncio.Handle:
        return self.loop.call_soon(self._run, call, args)

    def call_later(self, delay: float, call: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        return self.loop.call_at(self.loop.now + max(0.0, delay) / self.rate, self._run, call, args)

    def call_at(self, when: float, call: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        at = self.rate_began + (when - self.clock_at_rate_began) / self.rate
        return self.loop.call_at(max(at, self.loop.now) + TIMER_MARGIN_S, self._run, call, args)

    def create_future(self) -> asyncio.Future[Any]:
        return self.loop.create_future()

    def create_task(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = self.loop.create_task(coro)
        self.tasks[task] = None
        task.add_done_callback(lambda t: self.tasks.pop(t, None))
        return task

    async def create_connection(self, factory: Callable[[], Any], host: str, port: int) -> tuple[Any, Any]:
        return await self.loop.net.connect(self, factory, host, port)

    async def create_server(self, factory: Callable[[], Any], host: str, port: int, backlog: int = 0) -> Listener:
        key = (host, port)
        if key in self.loop.net.listening:
            raise OSError(98, f"{host}:{port}: address already in use")
        listener = Listener(self.loop.net, key)
        self.loop.net.listening[key] = (self, factory, listener)
        self.listeners.append(listener)
        return listener

    async def create_datagram_endpoint(
        self, factory: Callable[[], Any], local_addr: tuple[str, int]
    ) -> tuple[MemoryDatagramTransport, Any]:
        protocol = factory()
        end = self.loop.net.bind(self, protocol, local_addr)
        self.datagram_ends.append(end)
        protocol.connection_made(end)
        return end, protocol

    def _run(self, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        if self.dead:
            return
        if self.frozen or self.loop.now < self.busy_until:
            self.pending.append((call, args))
        else:
            call(*args)

    # ---- faults that the laboratory injects

    def kill(self) -> None:
        """Ends the node as SIGKILL does: its code is not notified, and the system resets its sockets."""
        if self.dead:
            return
        self.dead = True
        self.pending.clear()
        for listener in self.listeners:
            listener.close()
        for end in self.datagram_ends:
            self.loop.net.unbind(end)
        for transport in list(self.transports):
            transport.lost = transport.closing = True
            transport.out.queue.clear()
            transport.out.put(None, "reset")
            transport.out.to.out.drop()
        self.transports.clear()
        for task in list(self.tasks):
            task.cancel()

    def drift(self, rate: float) -> None:
        """Sets the rate of the clock from now on; timers that are already set keep their times."""
        self.clock_at_rate_began, self.rate_began, self.rate = self.time(), self.loop.now, rate

    def freeze(self) -> None:
        """Suspends the node as SIGSTOP does: its connections stay open and no callback runs."""
        self.frozen = True

    def busy(self, seconds: float) -> None:
        """Makes the current callback take `seconds`; a node that is busy already is busy for that much longer."""
        self.busy_until = max(self.busy_until, self.loop.now) + seconds
        self.loop.call_at(self.busy_until, self._run_pending)

    def thaw(self) -> None:
        self.frozen = False
        self._run_pending()

    def _run_pending(self) -> None:
        if self.frozen or self.loop.now < self.busy_until:
            return
        pending = list(self.pending)
        self.pending.clear()
        for call, args in pending:
            self.loop.call_soon(self._run, call, args)
