"""Runs one process under faults: `python -m pebblehinge.lab.faults.process_environment WHERE -- ROLE ...`.

The program's command line runs unchanged. Its outgoing connections and datagrams go through the laboratory's relay,
and the laboratory sets the rate of its clocks and makes its disk slow, full or failing. WHERE is one JSON object: name,
relay, datagrams (addresses), control (a pipe's descriptor, lines of `kind figure`).
"""

from __future__ import annotations

import asyncio
import json
import os
import runpy
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

import uvloop

from pebblehinge.lab.faults.relay import CONNECTED

PROGRAM = "pebblehinge"
"""The module to run, by name: it is imported only after the environment is installed."""

_monotonic, _wall, _sleep = time.monotonic, time.time, time.sleep


class Clock:
    """A process's clock. A change of its rate causes no jump."""

    def __init__(self) -> None:
        self.rate, self.since, self.shown = 1.0, _monotonic(), _monotonic()
        self.wall_s = 0.0

    def now(self) -> float:
        return self.shown + (_monotonic() - self.since) * self.rate

    def drift(self, rate: float) -> None:
        self.shown, self.since, self.rate = self.now(), _monotonic(), rate

    def wall(self) -> float:
        return _wall() + self.wall_s + (self.now() - _monotonic())


class ProcessEnvironment:
    """Faults of this process's clocks and disk, and the addresses of its relay."""

    def __init__(self, where: dict[str, Any]) -> None:
        self.name, self.clock = where["name"], Clock()
        self.relay, self.datagrams = tuple(where["relay"]), tuple(where["datagrams"])
        self.disk: dict[str, float] = {}
        if where.get("control") is not None:
            threading.Thread(target=self._listen, args=(where["control"],), daemon=True).start()

    def _listen(self, descriptor: int) -> None:
        with os.fdopen(descriptor) as lines:
            for line in lines:
                kind, _, figure = line.strip().partition(" ")
                self.set(kind, float(figure) if figure else None)

    def set(self, kind: str, by: float | None) -> None:
        if kind == "drift":
            self.clock.drift(1.0 + (by or 0.0))
        elif kind == "wall":
            self.clock.wall_s = (by or 0.0) / 1000.0
        elif by is None:
            self.disk.pop(kind, None)
        else:
            self.disk[kind] = by

    # ---- installation

    def install(self) -> None:
        """Replaces clocks, event loop and disk calls. Must run before the program is imported."""
        from pebblehinge.store.disk import RealDisk

        time.monotonic, time.time = self.clock.now, self.clock.wall  # type: ignore[assignment]
        uvloop.new_event_loop = lambda: RelayedLoop(self)  # type: ignore[assignment]
        for call, needs in (("append", "disk-full"), ("replace", "disk-full"), ("sync", "disk-fail")):
            setattr(RealDisk, call, self._faulty(getattr(RealDisk, call), needs))

    def _faulty(self, call: Callable[..., Any], needs: str) -> Callable[..., Any]:
        def done(disk: Any, *given: Any) -> Any:
            if "disk-slow" in self.disk:
                _sleep(self.disk["disk-slow"] / 1000.0)
            if needs in self.disk:
                full = needs == "disk-full"
                raise OSError(28 if full else 5, "No space left on device" if full else "Input/output error")
            return call(disk, *given)

        return done


class RelayedLoop(uvloop.Loop):
    """The program's event loop: it uses the process's clock and connects through the relay."""

    def __init__(self, under: ProcessEnvironment) -> None:
        super().__init__()
        self.under = under

    def time(self) -> float:
        return self.under.clock.now()

    def call_later(self, delay: float, call: Any, *args: Any, context: Any = None) -> Any:
        return super().call_later(max(0.0, delay) / self.under.clock.rate, call, *args, context=context)

    def call_at(self, when: float, call: Any, *args: Any, context: Any = None) -> Any:
        return self.call_later(when - self.time(), call, *args, context=context)

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        if host is None or more:
            return await super().create_connection(factory, host, port, **more)
        asking = RelayHandshake(self, f"{self.under.name} {host} {port}\n".encode())
        transport, _ = await super().create_connection(lambda: asking, *self.under.relay)
        try:
            answer, rest = await asking.answer
        except BaseException:
            transport.abort()
            raise
        if answer != CONNECTED:
            transport.abort()
            raise ConnectionRefusedError(111, f"{host}:{port}: connection refused")
        protocol = factory()
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        if rest:
            protocol.data_received(rest)
        return transport, protocol

    async def create_datagram_endpoint(self, factory: Any, local_addr: Any = None, **more: Any) -> Any:
        protocol = factory()
        host, port = local_addr
        wrapped = RelayedDatagrams(self, protocol, f"{host} {port}")
        await super().create_datagram_endpoint(lambda: wrapped, local_addr=local_addr, **more)
        return wrapped, protocol


class RelayHandshake(asyncio.Protocol):
    """Waits for the relay's answer whether the destination accepted the connection."""

    def __init__(self, loop: RelayedLoop, line: bytes) -> None:
        self.line = line
        self.answer: asyncio.Future[tuple[bytes, bytes]] = loop.create_future()

    def connection_made(self, transport: Any) -> None:
        transport.write(self.line)

    def data_received(self, data: bytes) -> None:
        if not self.answer.done():
            self.answer.set_result((data[:1], data[1:]))

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.answer.done():
            self.answer.set_exception(ConnectionResetError(104, "connection reset"))


class RelayedDatagrams(asyncio.DatagramProtocol):
    """Sends datagrams through the relay; a transport for the program, a protocol for the loop."""

    def __init__(self, loop: RelayedLoop, protocol: Any, own: str) -> None:
        self.under, self.protocol, self.own = loop.under, protocol, own
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.protocol.connection_made(self)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        head, _, rest = data.partition(b"\n")
        host, _, port = head.decode("utf-8", "replace").partition(" ")
        if tuple(addr[:2]) == self.under.datagrams and port.isdigit():
            self.protocol.datagram_received(rest, (host, int(port)))

    def error_received(self, exc: Exception) -> None:
        self.protocol.error_received(exc)

    def connection_lost(self, exc: Exception | None) -> None:
        self.protocol.connection_lost(exc)

    def sendto(self, data: bytes, addr: Any = None) -> None:
        head = f"{self.under.name} {addr[0]} {addr[1]} {self.own}\n".encode()
        self.transport.sendto(head + bytes(data), self.under.datagrams)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        return self.transport.is_closing()

    def close(self) -> None:
        self.transport.close()

    abort = close


def main() -> None:
    where, words = json.loads(sys.argv[1]), sys.argv[3:]
    ProcessEnvironment(where).install()
    sys.argv = [PROGRAM, *words]
    runpy.run_module(PROGRAM, run_name="__main__")


if __name__ == "__main__":
    main()
