"""The platform's configuration of one gateway: a file that is read and validated at the start and at SIGHUP."""

from __future__ import annotations

import os
import re
import sys
from dataclasses import dataclass
from typing import Any

import msgspec

from pebblehinge.interface import Idempotency, Settings
from pebblehinge.platform_settings import PlatformSettingsError, SettingsReader, read_settings

MAX_FILE_BYTES = 8 * 1024 * 1024
MIN_SOCKETS = 64
DEFAULT_MEMORY_LIMIT_MB = 192.0  # The most that the platform gives, if the configuration does not state it.
PORTS = range(1, 65536)
ADDRESS_PATTERN = re.compile(r"([0-9A-Za-z.-]{1,253}):([0-9]{1,5})")
DOCUMENT_NAME = "configuration"  # The name of the document in error messages.
DEFAULT_MAX_OPEN_REQUESTS = 1_000_000


@dataclass(slots=True, frozen=True)
class ServiceConfig:
    """The configuration of one gateway; times are in milliseconds.

    Attributes:
        name: Id of the gateway.
        listen_address: Host and port on which the gateway listens for clients.
        discovery_address: Host and port of discovery.
        seed: Seed of the random number generators.
        max_sockets: Number of file descriptors that the process may have open.
        memory_limit_mb: Memory that the process may take, in MiB.
        initial_node_list: A node list in discovery's form, as JSON, which may be outdated, or None.
        settings: The scheduler's settings.
        is_write_by_class: Whether a request class writes, by the name of the class.
        idempotent_classes: The names of the request classes that may run any number of times.
        slot_count: Number of placement slots, 0 if the configuration does not state it.
        idle_timeout_ms: Time after which a storage node may close an idle connection.
        connect_timeout_ms: Time limit for opening a connection to a storage node.
        max_open_requests: Maximum number of requests without a final answer.
        longest_wait_ms: The longest time that a client of any request class waits for its answer.
    """

    name: str
    listen_address: tuple[str, int]
    discovery_address: tuple[str, int]
    seed: int
    max_sockets: int
    memory_limit_mb: int
    initial_node_list: bytes | None
    settings: Settings
    is_write_by_class: dict[str, bool]
    idempotent_classes: frozenset[str]
    slot_count: int
    idle_timeout_ms: float
    connect_timeout_ms: float
    max_open_requests: int
    longest_wait_ms: float


def parse_address(text: str, where: str) -> tuple[str, int]:
    """Returns the host and port of `host:port`; raises PlatformSettingsError that names the place, `where`."""
    match = ADDRESS_PATTERN.fullmatch(text)
    if match is None or int(match[2]) not in PORTS:
        raise PlatformSettingsError(f"{DOCUMENT_NAME}: {where} is {text[:60]!r}: expected host:port")
    return sys.intern(match[1]), int(match[2])


def read_config(text: bytes) -> ServiceConfig:
    """Returns the configuration that a JSON document contains.

    Raises:
        PlatformSettingsError: The document is invalid; the message names the first error and what was expected there.
    """
    try:
        raw, initial_node_list = _decode_document(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlatformSettingsError(f"{DOCUMENT_NAME}: {error}: expected a JSON object") from None
    document = SettingsReader(raw, "", DOCUMENT_NAME)
    seed = _parse_seed(document.get("seed", str))
    limits = document.child("limits")
    max_sockets = limits.get("sockets", int)
    memory_limit_mb = int(limits.get("memory_mb", float, DEFAULT_MEMORY_LIMIT_MB))
    if max_sockets < MIN_SOCKETS:
        raise PlatformSettingsError(
            f"{DOCUMENT_NAME}: limits.sockets is {max_sockets}: expected at least {MIN_SOCKETS}"
        )
    if memory_limit_mb < 1:
        raise PlatformSettingsError(f"{DOCUMENT_NAME}: limits.memory_mb is {memory_limit_mb}: expected at least 1")
    platform_settings = document.get("settings", dict)
    settings = read_settings(platform_settings)
    if not settings.request_classes or not settings.quota_plans:
        raise PlatformSettingsError("settings: classes and service_levels: expected at least one of each")
    settings_reader = SettingsReader(platform_settings, "")
    ceilings = settings_reader.child("ceilings")
    family_info = settings_reader.child("family_info")
    writes = family_info.get("writes", list[bool])
    if len(writes) != len(settings.request_classes):
        raise PlatformSettingsError(f"settings: family_info.writes holds {len(writes)}: expected one for each class")
    if initial_node_list is not None and not initial_node_list.startswith(b"{"):
        raise PlatformSettingsError(f"{DOCUMENT_NAME}: known is no object: expected a list in discovery's form")
    return ServiceConfig(
        name=document.get("name", str),
        listen_address=parse_address(document.get("listen", str), "listen"),
        discovery_address=parse_address(document.get("discovery", str), "discovery"),
        seed=seed,
        max_sockets=max_sockets,
        memory_limit_mb=memory_limit_mb,
        initial_node_list=initial_node_list,
        settings=settings,
        is_write_by_class={
            request_class.name: is_write
            for request_class, is_write in zip(settings.request_classes, writes, strict=True)
        },
        idempotent_classes=frozenset(
            request_class.name
            for request_class in settings.request_classes
            if request_class.idempotency is Idempotency.IDEMPOTENT
        ),
        slot_count=family_info.get("shards", int, 0),
        idle_timeout_ms=ceilings.get("conn_idle_s", float, scale=1000.0),
        connect_timeout_ms=ceilings.get("connect_timeout_s", float, scale=1000.0),
        max_open_requests=ceilings.get("max_open", int, DEFAULT_MAX_OPEN_REQUESTS),
        longest_wait_ms=max(request_class.max_wait_ms for request_class in settings.request_classes),
    )


def _decode_document(text: bytes) -> tuple[Any, bytes | None]:
    """Returns the decoded document without its node list, and the text of that, which may be large."""
    try:
        values = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
    except msgspec.ValidationError:
        return msgspec.json.decode(text), None
    node_list = bytes(values.pop("known", b"null")).strip()
    return {
        key: msgspec.json.decode(value) for key, value in values.items()
    }, None if node_list == b"null" else node_list


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise PlatformSettingsError(f"{DOCUMENT_NAME}: seed is {text[:60]!r}: expected hex digits") from None


def load_config(path: str) -> ServiceConfig:
    """Returns the configuration that a file contains.

    Raises:
        PlatformSettingsError: The file can't be read, is too large, or is invalid.
    """
    try:
        if os.path.getsize(path) > MAX_FILE_BYTES:
            raise PlatformSettingsError(f"{DOCUMENT_NAME}: {path}: more than {MAX_FILE_BYTES} bytes")
        with open(path, "rb") as file:
            return read_config(file.read(MAX_FILE_BYTES))
    except OSError as error:
        raise PlatformSettingsError(f"{DOCUMENT_NAME}: {path}: {error.strerror}") from None
