"""Requests of clients as bytes, sound ones and one for each fault that a client is told of."""

from __future__ import annotations

import json

from conversations import CONFIG

from pebblehinge.http1 import HttpError, RequestParser
from pebblehinge.platform_settings import PlatformSettingsError
from pebblehinge.service.client_request import read_request
from pebblehinge.service.config import read_config

VOLUME = "volume=00000003b4d60021"
FIELDS = {
    "Host": "service.internal", "X-Request-Id": "9b1f03aa5c7e2d41", "X-Class": "look", "X-Plan": "gold",
    "Cookie": "a=b; block=7f3a9c21e0b4d655", "X-Deadline-Ms": "900",
    "X-IO": "volume=00000003b4d60021,units=2,shard=1,hosts=3",
}  # fmt: skip
FAULTS: list[dict[str, str | None]] = [
    *({name: None} for name in FIELDS),
    {"X-Request-Id": "a b"}, {"X-Class": "other"}, {"X-Plan": "other"}, {"Cookie": "a=b"}, {"Cookie": "block=1"},
    {"X-Deadline-Ms": "soon"}, {"X-Retry": "2"}, {"X-Retry": "1"},
    {"X-IO": "volume=1"}, {"X-IO": f"{VOLUME},{VOLUME}"},
    *({"X-IO": f"{VOLUME},{rest}"} for rest in (
        "units=x,shard=1,hosts=3", "units=2,shard=x,hosts=3", "units=2,shard=1,hosts=x", "units=9,shard=1,hosts=3",
        "units=2,shard=9,hosts=3", "units=2,shard=-1,hosts=0",
    )),
    {"Idempotency-Key": "5f1c", "X-Odd": "ab", "Connection": "X-Mine, X-IO", "X-Mine": "1", "TE": "x"},
]  # fmt: skip


def message(method: str, path: str, fields: dict[str, str | None] | dict[str, str], body: bytes, more: str) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items() if v is not None)]
    lines += [more] if more else []
    lines += [f"Content-Length: {len(body)}"] if body else []
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def requests() -> list[bytes]:
    """All of them."""
    found = [message("GET", "/look/x?a=1", {**FIELDS, **fields}, b"", "") for fields in FAULTS]
    saved = {**FIELDS, "X-Class": "save", "Content-Type": "text/plain"}
    found += [
        message("GET", "/look/x", FIELDS, b"", ""), message("PUT", "/save/x", saved, b"\x00body", ""),
        message("PUT", "/look/x", FIELDS, b"", ""), message("GET", "/save/x", FIELDS, b"", ""),
        message("GET", "/look/x", FIELDS, b"body", ""), message("GET", "look", FIELDS, b"", ""),
        message("GET", "/look/x", FIELDS, b"", "X-Class: look"), message("GET", "/look/x", FIELDS, b"", "no colon"),
        message("GET", "/look/x", FIELDS, b"", "X-Long: " + "x" * 17_000), b"GARBAGE\r\n\r\n",
        message("GET", "/look/x", FIELDS, b"", "Transfer-Encoding: gzip"),
        message("PUT", "/save/x", saved, b"", "Content-Length: 70000"),
        message("PUT", "/save/x", saved, b"", "Content-Length: 1\r\nContent-Length: 2"),
        message("PUT", "/save/x", saved, b"", "Transfer-Encoding: chunked") + b"3\r\nabc\r\n0\r\n\r\n",
    ]  # fmt: skip
    return found


def outcome(data: bytes) -> list[object]:
    """What becomes of a request: the status and text of a fault, or what the module and the node are told."""
    reader = RequestParser()
    reader.feed(data)
    try:
        request = reader.next()
        if request is None:
            return ["more is awaited"]
        a = read_request(request, read_config(json.dumps(CONFIG).encode()))
    except HttpError as error:
        return [error.status, str(error)]
    placement = [a.extent, a.volume, a.units, a.slot, a.set_size]
    return [a.id, a.request_class, a.quota_plan, *placement, a.max_wait_ms, a.is_retry, a.head.decode("latin-1")]


def configurations() -> list[bytes]:
    """Files that an instance can't start by, each for another reason."""
    found = [b"not JSON", b"[]"]
    for key in CONFIG:
        found += [json.dumps({k: v for k, v in CONFIG.items() if k != key}).encode(),
                  json.dumps({**CONFIG, key: 5}).encode(), json.dumps({**CONFIG, key: "x"}).encode()]  # fmt: skip
    found += [json.dumps({**CONFIG, "limits": {"sockets": 2}}).encode(), json.dumps({**CONFIG, "known": 1}).encode()]
    return found


def refusal(data: bytes) -> str:
    """Why a configuration is none, or nothing."""
    try:
        read_config(data)
    except PlatformSettingsError as error:
        return str(error)
    return ""
