"""Stand-ins for the platform of the gateway in service: discovery, shelfs behind a network, and clients, on HTTP/1.1.

They follow the platform's protocol page. All run in the case's own process; the gateway is a process of its own.
"""

from __future__ import annotations

import asyncio
import json
import selectors
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from review.stage import HOST, Stage

READ_CLASS, WRITE_CLASS = "table-lookup", "booking-write"


def precise_loop() -> asyncio.AbstractEventLoop:
    """Returns a loop whose timers are exact to some hundredths of a millisecond."""
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


def service_config(listen: int, discovery: int, **changes: Any) -> str:
    """Returns the configuration file of one gateway; `changes` replace parts of its settings."""
    settings: dict[str, Any] = {
        "ceilings": {
            "cancel": True,
            "conn_idle_s": 30.0,
            "connect_timeout_s": 0.25,
            "max_open": 1000,
            "max_retry_after_s": 0.5,
            "retry_after": True,
            "try_limit": 3,
        },
        "classes": [
            {
                "effect": "safe",
                "give_up_s": 2.0,
                "late_worth": 0.1,
                "name": READ_CLASS,
                "on_time_s": 0.4,
                "points": 3.0,
            },
            {
                "effect": "unsafe",
                "give_up_s": 3.0,
                "late_worth": 0.1,
                "name": WRITE_CLASS,
                "on_time_s": 0.4,
                "points": 3.0,
            },
        ],  # fmt: skip
        "client_habits": {"marks_retry": True},
        "family_info": {
            "idle_worth": 0.1,
            "mean_units": 2.0,
            "most_units": 8,
            "shards": 3,
            "within_share": 0.35,
            "writes": [False, True],
        },
        "membership_mode": "push",
        "rules": {"cold_share": 0.15, "fall_multiple": 4.0, "warm_after_s": 18.0, "stop_sending_within_s": 2.0},
        "service_levels": [{"base_rate": 900.0, "name": "priority", "reserve": 900.0}],
        "step_s": 0.002,
    }
    document = {
        "name": "n1",
        "listen": f"{HOST}:{listen}",
        "discovery": f"{HOST}:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": settings | changes,
    }
    return json.dumps(document)


@dataclass(slots=True)
class Message:
    """One message of HTTP/1.1: its first line, its headers by lower-case name, its body."""

    start: str
    headers: dict[str, str]
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message whose body has a stated length; raises IncompleteReadError at the end of the stream."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(head[0], headers, body)


class Discovery:
    """Discovery's agent: answers a watch with the whole list, then an empty line every 2 s."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.entries = entries

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        try:
            await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps({"version": 1, "full": True, "servers": self.entries}).encode() + b"\n"
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                await asyncio.sleep(2.0)
                line = b"\n"
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def list_entry(name: str, port: int, shard: int) -> dict[str, Any]:
    """Returns the entry of a shelf that has been up for long."""
    return {
        "id": name,
        "addr": f"{HOST}:{port}",
        "zone": "a",
        "kind": "m",
        "cell": shard,
        "state": "Ready",
        "weight": 1.0,
        "started_ms": 0,
    }


@dataclass(slots=True)
class ShelfConnection:
    """One connection as the shelf sees it, behind the network.

    Attributes:
        writer: The gateway's end of the network.
        waiting: Requests that have come to the shelf and have no answer yet.
    """

    writer: asyncio.StreamWriter
    waiting: int = 0


@dataclass(slots=True)
class Shelf:
    """A shelf behind a network that takes `delay_s` each way; it runs each request for `work_s`, then answers it.

    Attributes:
        on_answered: Called after each answer has left the shelf, with the connection, the request and the answer.
        run_ids: Ids of the requests that it has run, in order.
    """

    work_s: float
    delay_s: float
    on_answered: Callable[[ShelfConnection, Message, bytes], None] = lambda conn, request, answer: None
    run_ids: list[str] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        loop = asyncio.get_running_loop()
        conn = ShelfConnection(writer)
        try:
            while True:
                request = await read_message(reader)
                loop.call_later(self.delay_s, self._arrive, conn, request)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _arrive(self, conn: ShelfConnection, request: Message) -> None:
        conn.waiting += 1
        asyncio.get_running_loop().call_later(self.work_s, self._run, conn, request)

    def _run(self, conn: ShelfConnection, request: Message) -> None:
        self.run_ids.append(request.headers["x-request-id"])
        conn.waiting -= 1
        body = answer_body(request.headers["x-request-id"], request.headers["cookie"])
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        self.send(conn, answer)
        self.on_answered(conn, request, answer)

    def send(self, conn: ShelfConnection, data: bytes) -> None:
        """Sends bytes, which the network delivers after its delay."""

        def deliver() -> None:
            if not conn.writer.is_closing():
                conn.writer.write(data)

        asyncio.get_running_loop().call_later(self.delay_s, deliver)


def answer_body(request_id: str, cookie: str) -> bytes:
    """Returns the body of the only sound answer to a request."""
    return f"for {request_id}: {cookie}".encode()


@dataclass(slots=True)
class Answer:
    """What a client got: the status, 0 for none, and the body."""

    status: int
    body: bytes


class Client:
    """A client with one connection, which it keeps, and which carries one request at a time."""

    def __init__(self, name: str, port: int) -> None:
        self.name = name
        self.port = port
        self.sent = 0
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, shard: int, block: int, deadline_ms: int = 2000) -> tuple[str, Answer]:
        """Reads a block; returns the id of the request and the answer."""
        self.sent += 1
        request_id = f"{self.name}{self.sent:08x}"
        head = (
            f"GET /{READ_CLASS} HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {request_id}\r\n"
            f"X-Class: {READ_CLASS}\r\nX-Plan: priority\r\nCookie: block={block:016x}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nX-IO: volume={shard:016x},units=2,shard={shard},hosts=1\r\n\r\n"
        )
        try:
            if self._streams is None:
                self._streams = await asyncio.open_connection(HOST, self.port)
            reader, writer = self._streams
            writer.write(head.encode())
            message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000.0 + 0.5)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            return request_id, Answer(0, b"")
        if message.headers.get("connection") == "close":
            self.close()
        return request_id, Answer(int(message.start.split()[1]), message.body)

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def wait_until_ready(stage: Stage, port: int) -> bool:
    """Waits until the gateway says that it is ready; returns whether it did within 10 s."""
    for _ in range(100):
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
            if message.start.split()[1] == "200":
                stage.note("the gateway is ready")
                return True
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        await asyncio.sleep(0.1)
    return False
