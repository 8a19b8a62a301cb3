"""What the platform tells a head at its start and at SIGHUP: one file, checked before anything acts on it."""

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
ADDRESS = re.compile(r"([0-9A-Za-z.-]{1,253}):([0-9]{1,5})")
WHOLE = "configuration"


@dataclass(slots=True, frozen=True)
class ServiceConfig:
    """One head's configuration. Times are ms."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    known: Any  # a list in discovery's form, perhaps old, or None
    settings: Settings
    writes: dict[str, bool]  # by profile
    shards: int  # 0 where that is not told
    idle_ms: float  # after this a shelf may close an idle connection
    connect_ms: float
    most_open: int
    longest_ms: float  # of all patience


def parse_address(text: str, where: str) -> tuple[str, int]:
    found = ADDRESS.fullmatch(text)
    if found is None or not 0 < int(found[2]) < 65536:
        raise PlatformSettingsError(f"{WHOLE}: {where} is {text[:60]!r}: expected host:port")
    return found[1], int(found[2])


def read_config(text: bytes) -> ServiceConfig:
    """The configuration as a whole; raises StatedError with the place and what was expected."""
    try:
        raw = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlatformSettingsError(f"{WHOLE}: {error}: expected a JSON object") from None
    top = SettingsReader(raw, "", WHOLE)
    seed = top.get("seed", str)
    try:
        number = int(seed, 16)
    except ValueError:
        raise PlatformSettingsError(f"{WHOLE}: seed is {seed[:60]!r}: expected hex digits") from None
    sockets = top.sub("limits").get("sockets", int)
    if sockets < FEWEST_SOCKETS:
        raise PlatformSettingsError(f"{WHOLE}: limits.sockets is {sockets}: expected at least {FEWEST_SOCKETS}")
    platform_settings = top.get("settings", dict)
    settings = read_settings(platform_settings)
    if not settings.request_classes or not settings.quota_plans:
        raise PlatformSettingsError("settings: classes and service_levels: expected at least one of each")
    env = SettingsReader(platform_settings, "")
    caps, info = env.sub("ceilings"), env.sub("family_info")
    writes = info.get("writes", list[bool])
    if len(writes) != len(settings.request_classes):
        raise PlatformSettingsError(f"settings: family_info.writes holds {len(writes)}: expected one for each class")
    known = raw.get("known")
    if known is not None and not isinstance(known, dict):
        raise PlatformSettingsError(f"{WHOLE}: known is no object: expected a list in discovery's form")
    return ServiceConfig(
        name=top.get("name", str),
        listen=parse_address(top.get("listen", str), "listen"),
        discovery=parse_address(top.get("discovery", str), "discovery"),
        seed=number,
        sockets=sockets,
        known=known,
        settings=settings,
        writes={p.name: write for p, write in zip(settings.request_classes, writes, strict=True)},
        shards=info.get("shards", int, 0),
        idle_ms=caps.get("conn_idle_s", float, scale=1000.0),
        connect_ms=caps.get("connect_timeout_s", float, scale=1000.0),
        most_open=caps.get("max_open", int, 1_000_000),
        longest_ms=max(p.max_wait_ms for p in settings.request_classes),
    )


def load_config(path: str) -> ServiceConfig:
    try:
        if os.path.getsize(path) > FILE_LIMIT:
            raise PlatformSettingsError(f"{WHOLE}: {path}: more than {FILE_LIMIT} bytes")
        with open(path, "rb") as file:
            return read_config(file.read(FILE_LIMIT))
    except OSError as error:
        raise PlatformSettingsError(f"{WHOLE}: {path}: {error.strerror}") from None
