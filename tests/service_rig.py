"""A gateway in service with scripted storage nodes, discovery and clients, on loopback."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop
from helpers import LOOPBACK, until

from pebblehinge.http1 import HttpRequest, HttpResponse, RequestParser, ResponseParser
from pebblehinge.service.config import read_config
from pebblehinge.service.server import Service

SETTINGS: dict[str, Any] = {
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
        {"effect": "safe", "give_up_s": 2.0, "late_worth": 0.1, "name": "look", "on_time_s": 0.4, "points": 2.0},
        {"effect": "unsafe", "give_up_s": 1.0, "late_worth": 0.1, "name": "save", "on_time_s": 0.4, "points": 2.0},
    ],
    "client_habits": {"marks_retry": True},
    "family_info": {
        "idle_worth": 0.05,
        "mean_units": 2.0,
        "most_units": 6,
        "shards": 4,
        "within_share": 0.35,
        "writes": [False, True],
    },
    "membership_mode": "push",
    "rules": {"cold_share": 0.3, "fall_multiple": 2.0, "warm_after_s": 5.0},
    "service_levels": [{"base_rate": 900.0, "name": "gold", "reserve": 900.0}],
    "step_s": 0.002,
}
CONFIG: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:8443",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
    "settings": SETTINGS,
}
request_ids = iter(range(1, 1 << 30))
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class NodePeer(asyncio.Protocol):
    """The node's end of a connection; `handle_request` of the node handles each request."""

    def __init__(self, node: ScriptedNode) -> None:
        self.node, self.parser, self.is_closed = node, RequestParser(), False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.node.peers.append(self)

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        while (request := self.parser.next()) is not None:
            self.node.received_requests.append((self, request))
            self.node.handle_request(self, request)

    def write(self, data: bytes) -> None:
        self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True


class ScriptedNode:
    """A storage node that records its connections and requests; a test may replace `handle_request`."""

    def __init__(self) -> None:
        self.peers: list[NodePeer] = []
        self.received_requests: list[tuple[NodePeer, HttpRequest]] = []
        self.handle_request: Callable[[NodePeer, HttpRequest], None] = lambda conn, request: conn.write(OK)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: NodePeer(self), LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]


class DiscoveryPeer(NodePeer):
    """Discovery's end of a connection, which sends updates of the node list as chunks."""

    def send_list(self, update: dict[str, Any]) -> None:
        json_line = json.dumps(update).encode() + b"\n"
        self.write(b"%x\r\n%b\r\n" % (len(json_line), json_line))


class ScriptedDiscovery(ScriptedNode):
    """Answers each watch with the node list that the test has set."""

    def __init__(self) -> None:
        super().__init__()
        self.node_list: dict[str, Any] = {}
        self.handle_request = self.answer_watch

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: DiscoveryPeer(self), LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def answer_watch(self, conn: Any, request: HttpRequest) -> None:
        conn.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        conn.send_list(self.node_list)


def entry(name: str, port: int, slot: int, state: str = "Ready", started_ms: float = 0) -> dict[str, Any]:
    """Returns an entry of the node list in the form of discovery."""
    return {
        "id": name,
        "addr": f"{LOOPBACK}:{port}",
        "zone": "a",
        "kind": "m",
        "cell": slot,
        "state": state,
        "weight": 1.0,
        "started_ms": started_ms,
    }


def listing(version: int, *entries: dict[str, Any], full: bool = True) -> dict[str, Any]:
    """Returns an update of the node list, a complete one if `full`."""
    return {"version": version, "full": full, "servers": list(entries)}


class Rig:
    """A gateway in service with two storage nodes and discovery."""

    async def start(self, sockets: int = 256, **changes: Any) -> Rig:
        self.storage_nodes, self.discovery = [ScriptedNode(), ScriptedNode()], ScriptedDiscovery()
        for peer in (*self.storage_nodes, self.discovery):
            await peer.start()
        self.discovery.node_list = listing(1, *(entry(f"s{i}", s.port, i) for i, s in enumerate(self.storage_nodes)))
        config = read_config(json.dumps({**CONFIG, "limits": {"sockets": sockets}}).encode())
        config = dataclasses.replace(
            config, listen_address=(LOOPBACK, 0), discovery_address=(LOOPBACK, self.discovery.port), **changes
        )
        self.gateway = Service(asyncio.get_running_loop(), config, "/nowhere")
        self.gateway.log = lambda event, **facts: None  # type: ignore[method-assign]
        await self.gateway.start()
        assert self.gateway.listener.socket is not None
        self.port = self.gateway.listener.socket.getsockname()[1]
        await until(lambda: len(self.gateway.core.scheduler.nodes.node_at_slot) == 2)
        return self

    async def client(self) -> Client:
        client = Client()
        await asyncio.get_running_loop().create_connection(lambda: client, LOOPBACK, self.port)
        return client

    def address(self, node: int) -> tuple[str, int]:
        return LOOPBACK, self.storage_nodes[node].port

    async def fetch(self, data: bytes) -> HttpResponse:
        client = await self.client()
        client.write(data)
        return await client.next_answer()


class Client(asyncio.Protocol):
    """A client of the gateway that collects the answers in the order of their arrival."""

    def __init__(self) -> None:
        self.responses, self.answers, self.is_closed, self.read_count = ResponseParser(), [], False, 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def write(self, data: bytes) -> None:
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.responses.feed(data)
        while (answer := self.responses.next()) is not None:
            self.answers.append(answer)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True

    async def next_answer(self) -> HttpResponse:
        self.read_count += 1
        await until(lambda: len(self.answers) >= self.read_count)
        return self.answers[self.read_count - 1]


def build_request(request_class: str = "look", shard: int = 0, body: bytes = b"", **headers: str | None) -> bytes:
    """Returns a valid request; `headers` (underscores for hyphens) replace headers, a value of None omits one."""
    method, path = ("PUT" if request_class == "save" else "GET"), f"/{request_class}/x?a=1"
    fields: dict[str, str | None] = {
        "Host": "service.internal",
        "X-Request-Id": f"{next(request_ids):016x}",
        "X-Class": request_class,
        "X-Plan": "gold",
        "Cookie": "block=7f3a9c21e0b4d655",
        "X-Deadline-Ms": "900",
        "X-IO": f"volume=00000003b4d60021,units=2,shard={shard},hosts=1",
    }
    if request_class == "save":
        fields["Content-Length"] = str(len(body))
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    method, path = fields.pop("method", None) or method, fields.pop("path", None) or path
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items() if value is not None)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def run_on_rig(script: Callable[[Rig], Coroutine[Any, Any, None]], sockets: int = 256, **changes: Any) -> None:
    """Runs a script with a new rig; `changes` replace fields of the gateway's configuration."""

    async def run() -> None:
        rig = await Rig().start(sockets, **changes)
        try:
            await asyncio.wait_for(script(rig), 20.0)
        finally:
            rig.gateway.watch.stop()

    uvloop.run(run())


def respond_with(data: bytes, close: bool = False) -> Callable[[NodePeer, HttpRequest], None]:
    """Returns a handler that answers each request with `data`, and then closes the connection if `close`."""

    def handle_request(conn: NodePeer, request: HttpRequest) -> None:
        conn.write(data)
        if close:
            conn.transport.close()

    return handle_request
