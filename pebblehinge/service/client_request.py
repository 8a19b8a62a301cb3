"""Validates a client's request in the platform's protocol and extracts its fields. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from pebblehinge.core import PendingRequest
from pebblehinge.http1 import HttpError, HttpRequest, write_request
from pebblehinge.service.config import ServiceConfig

ID_PATTERN = re.compile(rb"[0-9A-Za-z_-]{1,64}")
HEX16_PATTERN = re.compile(rb"[0-9A-Fa-f]{16}")
INTEGER_PATTERN = re.compile(rb"[0-9]{1,9}")
UNITS_PATTERN = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,6})?")
SHARD_PATTERN = re.compile(rb"-1|[0-9]{1,6}")
IO_FIELDS = (
    (b"volume", HEX16_PATTERN),
    (b"units", UNITS_PATTERN),
    (b"shard", SHARD_PATTERN),
    (b"hosts", INTEGER_PATTERN),
)
BLOCK_PREFIX = b"block="
SINGLE_HEADERS = frozenset(
    (b"host", b"x-request-id", b"x-class", b"x-plan", b"cookie", b"x-deadline-ms", b"x-io", b"x-retry")
)
# Headers that belong to one connection, or that the gateway sets itself; all others are forwarded to storage nodes.
UNFORWARDED_HEADERS = frozenset(
    (
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
    )
)
CANONICAL_NAMES = {
    b"host": b"Host",
    b"x-request-id": b"X-Request-Id",
    b"x-class": b"X-Class",
    b"x-plan": b"X-Plan",
    b"cookie": b"Cookie",
    b"x-io": b"X-IO",
    b"x-retry": b"X-Retry",
    b"content-type": b"Content-Type",
}


class ClientRequest(PendingRequest):
    """An admitted request.

    Attributes:
        origin: The `ClientConnection` on which the request arrived.
        id: The client's id of the request.
        head: The HTTP head of its attempts, without X-Deadline-Ms, whose value differs between attempts.
        is_idempotent: Whether its class may run any number of times.
        may_have_run: Whether an attempt was begun.
    """

    __slots__ = ("head", "is_idempotent", "may_have_run")

    origin: Any
    id: str
    head: bytes
    is_idempotent: bool
    may_have_run: bool


@dataclass(slots=True)
class ParsedRequest:
    """The fields of a valid request.

    Attributes:
        id: The client's id of the request.
        request_class: Name of the request class.
        quota_plan: Name of the quota plan.
        extent: Id of the extent, 16 hex digits.
        volume: Id of the volume, 16 hex digits.
        units: Cost of the request in the platform's units.
        slot: Slot of placement, -1 for none.
        set_size: Number of gateways that share the volume.
        max_wait_ms: How long the client waits for its answer, in milliseconds.
        is_retry: Whether the client marks the request as a retry.
        head: The HTTP head of its attempts, without X-Deadline-Ms, whose value differs between attempts.
    """

    id: str
    request_class: str
    quota_plan: str
    extent: str
    volume: str
    units: float
    slot: int
    set_size: int
    max_wait_ms: float
    is_retry: bool
    head: bytes


def read_request(request: HttpRequest, config: ServiceConfig) -> ParsedRequest:
    """Returns the fields of a request.

    Raises:
        HttpError: The request violates the protocol; the error names the first violation and the status to answer with.
    """
    headers = _read_headers(request)
    request_id = _required_header(headers, b"x-request-id", ID_PATTERN).decode()
    _required_header(headers, b"host")
    request_class = _required_header(headers, b"x-class").decode("latin-1")
    _check_operation(request, request_class, config)
    quota_plan = _required_header(headers, b"x-plan").decode("latin-1")
    if not any(plan.name == quota_plan for plan in config.settings.quota_plans):
        raise HttpError(400, "X-Plan: not known here")
    extent = _read_extent(_required_header(headers, b"cookie"))
    max_wait_ms = float(_required_header(headers, b"x-deadline-ms", INTEGER_PATTERN))
    retry_value = headers.get(b"x-retry", b"0")
    if retry_value not in (b"0", b"1"):
        raise HttpError(400, "X-Retry: not in its form")
    io_fields = _read_io_fields(_required_header(headers, b"x-io"))
    units = float(io_fields[b"units"])
    slot = int(io_fields[b"shard"])
    set_size = int(io_fields[b"hosts"])
    if not 0 < units <= config.settings.max_units or set_size < 1:
        raise HttpError(400, "X-IO: units or hosts beyond what there is")
    if config.slot_count and slot >= config.slot_count:
        raise HttpError(400, "X-IO: no such shard")
    return ParsedRequest(
        request_id,
        request_class,
        quota_plan,
        extent,
        io_fields[b"volume"].decode(),
        units,
        slot,
        set_size,
        max_wait_ms,
        retry_value == b"1",
        _forwarded_head(request),
    )


def _read_headers(request: HttpRequest) -> dict[bytes, bytes]:
    """Returns the header values by name; for a header that may be repeated, its last value."""
    headers: dict[bytes, bytes] = {}
    for name, value in request.headers:
        if name in headers and name in SINGLE_HEADERS:
            raise HttpError(400, f"{name.decode('latin-1')} is told twice")
        headers[name] = value
    return headers


def _required_header(headers: dict[bytes, bytes], name: bytes, pattern: re.Pattern[bytes] | None = None) -> bytes:
    """Returns the value of a header that must be present and, if a pattern is given, match it."""
    value = headers.get(name)
    if value is None or (pattern is not None and pattern.fullmatch(value) is None):
        raise HttpError(400, f"{CANONICAL_NAMES.get(name, name).decode()}: missing, or not in its form")
    return value


def _check_operation(request: HttpRequest, request_class: str, config: ServiceConfig) -> None:
    """Raises HttpError if the method, the path or the body does not fit the request class."""
    is_write = config.is_write_by_class.get(request_class)
    if is_write is None:
        raise HttpError(400, "X-Class: not known here")
    target = request.target
    if not target.startswith(b"/") or target.partition(b"?")[0].split(b"/")[1] != request_class.encode("latin-1"):
        raise HttpError(400, "the path does not begin with the class")
    if request.method != (b"PUT" if is_write else b"GET"):
        raise HttpError(405, "a read is a GET, a write is a PUT")
    if request.body and not is_write:
        raise HttpError(400, "a read has no body")


def _read_extent(cookie: bytes) -> str:
    blocks = [part.strip()[len(BLOCK_PREFIX) :] for part in cookie.split(b";") if part.strip().startswith(BLOCK_PREFIX)]
    if len(blocks) != 1 or HEX16_PATTERN.fullmatch(blocks[0]) is None:
        raise HttpError(400, "Cookie: expected one block of 16 hex digits")
    return blocks[0].decode()


def _read_io_fields(value: bytes) -> dict[bytes, bytes]:
    parts = [part.strip().partition(b"=") for part in value.split(b",")]
    fields = {name: field for name, _, field in parts}
    if len(fields) != len(parts):
        raise HttpError(400, "X-IO: a value is told twice")
    for name, pattern in IO_FIELDS:
        if pattern.fullmatch(fields.get(name, b"")) is None:
            raise HttpError(400, f"X-IO: {name.decode()} is missing, or not in its form")
    return fields


def _forwarded_head(request: HttpRequest) -> bytes:
    """Returns the head of the attempts: the client's headers without those of its connection (RFC 9110, 7.6.1)."""
    connection_options = {
        name.strip().lower() for value in request.header_values(b"connection") for name in value.split(b",")
    } - CANONICAL_NAMES.keys()  # Headers that the protocol requires are forwarded all the same.
    headers = [
        (CANONICAL_NAMES.get(name, name), value)
        for name, value in request.headers
        if name not in UNFORWARDED_HEADERS and name not in connection_options
    ]
    return write_request(request.method, request.target, headers, request.body)
