"""The platform's configuration of one gateway: one file, read at the start and at SIGHUP and checked as a whole."""

from __future__ import annotations

import os
import re
from dataclasses import dataclass
from typing import Any

import msgspec

from pebblehinge.interface import Settings
from pebblehinge.platform_settings import PlatformSettingsError, SettingsReader, read_settings

FILE_LIMIT = 8 * 1024 * 1024  # bytes
FEWEST_SOCKETS = 64
PORTS = range(1, 65536)
ADDRESS = re.compile(r"([0-9A-Za-z.-]{1,253}):([0-9]{1,5})")
DOCUMENT = "configuration"  # its name in errors
DEFAULT_MAX_OPEN = 1_000_000


@dataclass(slots=True, frozen=True)
class ServiceConfig:
    """One gateway's configuration.

    Attributes:
        name: The gateway's id.
        listen: Host and port for clients.
        discovery: Host and port of discovery.
        seed: Of the random generators.
        sockets: Number of descriptors that the process may have.
        known: A node list in discovery's form, perhaps old, or None.
        settings: The scheduler's settings.
        writes: By request class, whether it writes.
        shards: Number of placement slots, 0 if it is not given.
        idle_ms: After this a storage node may close an idle connection, ms.
        connect_ms: Time-out of a dial, ms.
        max_open: Bound of the open requests.
        longest_wait_ms: The longest time that a client of any class waits, ms.
    """

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    known: dict[str, Any] | None
    settings: Settings
    writes: dict[str, bool]
    shards: int
    idle_ms: float
    connect_ms: float
    max_open: int
    longest_wait_ms: float


def parse_address(text: str, where: str) -> tuple[str, int]:
    """Return host and port of `host:port`; raises PlatformSettingsError that names the place `where`."""
    match = ADDRESS.fullmatch(text)
    if match is None or int(match[2]) not in PORTS:
        raise PlatformSettingsError(f"{DOCUMENT}: {where} is {text[:60]!r}: expected host:port")
    return match[1], int(match[2])


def read_config(text: bytes) -> ServiceConfig:
    """Return the configuration of a JSON document.

    Raises:
        PlatformSettingsError: The first place that is wrong, and what was expected there.
    """
    try:
        raw = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlatformSettingsError(f"{DOCUMENT}: {error}: expected a JSON object") from None
    top = SettingsReader(raw, "", DOCUMENT)
    seed = _parse_seed(top.get("seed", str))
    sockets = top.child("limits").get("sockets", int)
    if sockets < FEWEST_SOCKETS:
        raise PlatformSettingsError(f"{DOCUMENT}: limits.sockets is {sockets}: expected at least {FEWEST_SOCKETS}")
    platform_settings = top.get("settings", dict)
    settings = read_settings(platform_settings)
    if not settings.request_classes or not settings.quota_plans:
        raise PlatformSettingsError("settings: classes and service_levels: expected at least one of each")
    environment = SettingsReader(platform_settings, "")
    ceilings = environment.child("ceilings")
    family = environment.child("family_info")
    writes = family.get("writes", list[bool])
    if len(writes) != len(settings.request_classes):
        raise PlatformSettingsError(f"settings: family_info.writes holds {len(writes)}: expected one for each class")
    known = raw.get("known")
    if known is not None and not isinstance(known, dict):
        raise PlatformSettingsError(f"{DOCUMENT}: known is no object: expected a list in discovery's form")
    return ServiceConfig(
        name=top.get("name", str),
        listen=parse_address(top.get("listen", str), "listen"),
        discovery=parse_address(top.get("discovery", str), "discovery"),
        seed=seed,
        sockets=sockets,
        known=known,
        settings=settings,
        writes={
            request_class.name: write for request_class, write in zip(settings.request_classes, writes, strict=True)
        },
        shards=family.get("shards", int, 0),
        idle_ms=ceilings.get("conn_idle_s", float, scale=1000.0),
        connect_ms=ceilings.get("connect_timeout_s", float, scale=1000.0),
        max_open=ceilings.get("max_open", int, DEFAULT_MAX_OPEN),
        longest_wait_ms=max(request_class.max_wait_ms for request_class in settings.request_classes),
    )


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise PlatformSettingsError(f"{DOCUMENT}: seed is {text[:60]!r}: expected hex digits") from None


def load_config(path: str) -> ServiceConfig:
    """Return the configuration of a file.

    Raises:
        PlatformSettingsError: The file can't be read, is too large, or is wrong.
    """
    try:
        if os.path.getsize(path) > FILE_LIMIT:
            raise PlatformSettingsError(f"{DOCUMENT}: {path}: more than {FILE_LIMIT} bytes")
        with open(path, "rb") as file:
            return read_config(file.read(FILE_LIMIT))
    except OSError as error:
        raise PlatformSettingsError(f"{DOCUMENT}: {path}: {error.strerror}") from None
