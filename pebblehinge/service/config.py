"""The platform's configuration of one gateway: a file that is read and validated at the start and at SIGHUP."""

from __future__ import annotations

import os
import re
from dataclasses import dataclass
from typing import Any

import msgspec

from pebblehinge.interface import Settings
from pebblehinge.platform_settings import PlatformSettingsError, SettingsReader, read_settings

MAX_FILE_BYTES = 8 * 1024 * 1024
MIN_SOCKETS = 64
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
        initial_node_list: A node list in discovery's form, which may be outdated, or None.
        settings: The scheduler's settings.
        is_write_by_class: Whether a request class writes, by the name of the class.
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
    initial_node_list: dict[str, Any] | None
    settings: Settings
    is_write_by_class: dict[str, bool]
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
    return match[1], int(match[2])


def read_config(text: bytes) -> ServiceConfig:
    """Returns the configuration that a JSON document contains.

    Raises:
        PlatformSettingsError: The document is invalid; the message names the first error and what was expected there.
    """
    try:
        raw = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlatformSettingsError(f"{DOCUMENT_NAME}: {error}: expected a JSON object") from None
    document = SettingsReader(raw, "", DOCUMENT_NAME)
    seed = _parse_seed(document.get("seed", str))
    max_sockets = document.child("limits").get("sockets", int)
    if max_sockets < MIN_SOCKETS:
        raise PlatformSettingsError(
            f"{DOCUMENT_NAME}: limits.sockets is {max_sockets}: expected at least {MIN_SOCKETS}"
        )
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
    initial_node_list = raw.get("known")
    if initial_node_list is not None and not isinstance(initial_node_list, dict):
        raise PlatformSettingsError(f"{DOCUMENT_NAME}: known is no object: expected a list in discovery's form")
    return ServiceConfig(
        name=document.get("name", str),
        listen_address=parse_address(document.get("listen", str), "listen"),
        discovery_address=parse_address(document.get("discovery", str), "discovery"),
        seed=seed,
        max_sockets=max_sockets,
        initial_node_list=initial_node_list,
        settings=settings,
        is_write_by_class={
            request_class.name: is_write
            for request_class, is_write in zip(settings.request_classes, writes, strict=True)
        },
        slot_count=family_info.get("shards", int, 0),
        idle_timeout_ms=ceilings.get("conn_idle_s", float, scale=1000.0),
        connect_timeout_ms=ceilings.get("connect_timeout_s", float, scale=1000.0),
        max_open_requests=ceilings.get("max_open", int, DEFAULT_MAX_OPEN_REQUESTS),
        longest_wait_ms=max(request_class.max_wait_ms for request_class in settings.request_classes),
    )


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
