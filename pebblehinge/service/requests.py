"""A client's request in the platform's words: its form checked, and what the module is told of it. No I/O."""

from __future__ import annotations

import re

from pebblehinge.core import PendingRequest
from pebblehinge.http1 import HttpError, HttpRequest, write_request
from pebblehinge.service.config import ServiceConfig

ID = re.compile(rb"[0-9A-Za-z_-]{1,64}")
HEX16 = re.compile(rb"[0-9A-Fa-f]{16}")
WHOLE = re.compile(rb"[0-9]{1,9}")
UNITS = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,6})?")
SHARD = re.compile(rb"-1|[0-9]{1,6}")
ONCE = (b"host", b"x-request-id", b"x-class", b"x-plan", b"cookie", b"x-deadline-ms", b"x-io", b"x-retry")
# Headers that belong to one connection, or that this head words itself; all others are the client's to its shelf.
OF_THE_LINE = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
    b"content-length",
    b"x-deadline-ms",
}
PASSED_ON = {
    b"host": b"Host",
    b"x-request-id": b"X-Request-Id",
    b"x-class": b"X-Class",
    b"x-plan": b"X-Plan",
    b"cookie": b"Cookie",
    b"x-io": b"X-IO",
    b"x-retry": b"X-Retry",
    b"content-type": b"Content-Type",
}


class ServiceRequest(PendingRequest):
    """One request, with the head of its attempts up to the header that each attempt has of its own."""

    __slots__ = ("head",)

    head: bytes


class Asked:
    """A client's request as the module is told of it."""

    __slots__ = (
        "id",
        "request_class",
        "quota_plan",
        "extent",
        "volume",
        "units",
        "slot",
        "set_size",
        "max_wait_ms",
        "again",
        "head",
    )


def read_request(request: HttpRequest, config: ServiceConfig) -> Asked:
    """What a request asks for; raises HttpError with what is not in the protocol's form."""

    def one(name: bytes, form: re.Pattern[bytes] | None = None) -> bytes:
        value = found.get(name)
        if value is None or (form is not None and form.fullmatch(value) is None):
            raise HttpError(400, f"{PASSED_ON.get(name, name).decode()}: missing, or not in its form")
        return value

    found: dict[bytes, bytes] = {}
    for name, value in request.headers:
        if name in found and name in ONCE:
            raise HttpError(400, f"{name.decode('latin-1')} is told twice")
        found[name] = value
    asked = Asked()
    asked.id = one(b"x-request-id", ID).decode()
    one(b"host")
    asked.request_class = one(b"x-class").decode("latin-1")
    writes = config.writes.get(asked.request_class)
    if writes is None:
        raise HttpError(400, "X-Class: not known here")
    target = request.target
    if not target.startswith(b"/") or target.partition(b"?")[0].split(b"/")[1] != asked.request_class.encode("latin-1"):
        raise HttpError(400, "the path does not begin with the class")
    if request.method != (b"PUT" if writes else b"GET"):
        raise HttpError(405, "a read is a GET, a write is a PUT")
    if request.body and not writes:
        raise HttpError(400, "a read has no body")
    asked.quota_plan = one(b"x-plan").decode("latin-1")
    if not any(quota_plan.name == asked.quota_plan for quota_plan in config.settings.quota_plans):
        raise HttpError(400, "X-Plan: not known here")
    blocks = [p.strip()[6:] for p in one(b"cookie").split(b";") if p.strip().startswith(b"block=")]
    if len(blocks) != 1 or HEX16.fullmatch(blocks[0]) is None:
        raise HttpError(400, "Cookie: expected one block of 16 hex digits")
    asked.extent = blocks[0].decode()
    asked.max_wait_ms = float(one(b"x-deadline-ms", WHOLE))
    again = found.get(b"x-retry", b"0")
    if again not in (b"0", b"1"):
        raise HttpError(400, "X-Retry: not in its form")
    asked.again = again == b"1"
    parts = [part.strip().partition(b"=") for part in one(b"x-io").split(b",")]
    io = {name: value for name, _, value in parts}
    if len(io) != len(parts):
        raise HttpError(400, "X-IO: a value is told twice")
    for name, form in ((b"volume", HEX16), (b"units", UNITS), (b"shard", SHARD), (b"hosts", WHOLE)):
        if form.fullmatch(io.get(name, b"")) is None:
            raise HttpError(400, f"X-IO: {name.decode()} is missing, or not in its form")
    asked.volume, asked.units = io[b"volume"].decode(), float(io[b"units"])
    asked.slot, asked.set_size = int(io[b"shard"]), int(io[b"hosts"])
    if not 0 < asked.units <= config.settings.most_units or asked.set_size < 1:
        raise HttpError(400, "X-IO: units or hosts beyond what there is")
    if config.shards and asked.slot >= config.shards:
        raise HttpError(400, "X-IO: no such shard")
    named = {name.strip().lower() for value in request.header_values(b"connection") for name in value.split(b",")}
    named -= PASSED_ON.keys()  # what the protocol itself needs is the shelf's, whatever a client calls it
    passed = [(PASSED_ON.get(n, n), v) for n, v in request.headers if n not in OF_THE_LINE and n not in named]
    asked.head = write_request(request.method, target, passed, request.body)
    return asked
