"""What a version's text costs a head: reading it, holding it, taking it up. Used by `slopes_inside.py`."""

from __future__ import annotations

import gc
import itertools
import tracemalloc
from collections.abc import Callable
from typing import Any

from slopes import Point, least_ms, point

from pebblehinge.cli import ms_clock
from pebblehinge.gateway import GatewayServer
from pebblehinge.lab.simulated_fleet import WarningLog
from pebblehinge.replicated_config.activation import transitional_config
from pebblehinge.replicated_config.application_types import Grant
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads
from pebblehinge.wire import Kind, encode

VOLUMES = 2000


HEADS = (30, 100, 300, 600, 910)


TEXT = """
profile look {{
    importance 2
    expected 400ms
    patience 2s
    repeat redoable
}}
profile save {{
    importance 2
    expected 400ms
    patience 2s
    repeat irreversible
}}
plan capped {{
    rate 40/s
    limit {limit}/s
    burst 200
}}
volumes v {volumes} {{
    plan capped
    heads {heads}
}}
{blocks}
{members}
group {{
    lease 3s
}}
"""


def text(heads: int, volumes: int = VOLUMES, limit: float = 100) -> str:
    """Settings of a fleet as a group has them: each head and instance by name, volumes that are alike in one block."""
    blocks = "\n".join(f"head h{n} {{\n    listen 10.{n // 250}.{n % 250}.1:7000\n}}" for n in range(heads))
    members = "\n".join(f"member g{n} {{\n    listen 10.200.0.{n}:6000\n}}" for n in range(1, 6))
    return TEXT.format(limit=limit, volumes=volumes, heads=heads, blocks=blocks, members=members)


def kept_by(make: Callable[[], Any]) -> int:
    """Bytes that stand after a call, as long as what it returned is held."""
    make()  # caches that every call shares
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    held = make()
    gc.collect()
    found = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del held
    return found


def pending(old: str, new: str) -> VersionApplication:
    """A head between two versions: one active, one pending."""
    application = VersionApplication("h1", 0.25)
    application.apply_grant(Grant(application.begin_renewal(0.0), 3000.0, 1, old, 2, new, {}))
    return application


class Handle:
    """A timer that never rings."""

    def cancel(self) -> None:
        """Nothing to call off."""


class StillLoop:
    """A loop in which no time passes: the measured calls only set timers."""

    def time(self) -> float:
        return 0.0

    def call_at(self, *_: Any) -> Handle:
        return Handle()

    def create_future(self) -> None:
        """Nothing waits here."""


def head_of(config: Config) -> GatewayServer:
    """A framed head with no sockets."""
    loop: Any = StillLoop()
    return GatewayServer(loop, ms_clock(loop), config, "h1", WarningLog())


def version(heads: int, volumes: int) -> dict[str, Any]:
    old, new = text(heads, volumes), text(heads, volumes, 90)
    one, other = loads(old), loads(new)
    half, head = transitional_config(one, other, "h1"), head_of(one)
    turns = itertools.cycle((half, one))  # settings that are as they were are not taken up anew
    grant = (1, 3000.0, 1, old, 2, new, {}, "")
    return {
        "text_bytes": len(old),
        "read_ms": least_ms(lambda: loads(old)),
        "careful_ms": least_ms(lambda: transitional_config(one, other, "h1")),
        "take_up_ms": least_ms(lambda: head.apply_config(next(turns))),
        "kept_bytes": kept_by(lambda: pending(old, new)),
        "one_config_bytes": kept_by(lambda: loads(old)),
        "careful_bytes": kept_by(lambda: transitional_config(one, other, "h1")),
        "grant_both_ms": least_ms(lambda: encode(Kind.GRANT, *grant)),
    }


def versions(small: bool) -> list[Point]:
    """A version's text against the heads that it names and the volumes that it has."""
    heads = HEADS[:2] if small else HEADS
    found = [point({"heads": n, "volumes": VOLUMES, "along": "heads"}, **version(n, VOLUMES)) for n in heads]
    for count in (30, 300) if small else (30, 300, 1000, 2000):
        found.append(point({"heads": 910, "volumes": count, "along": "volumes"}, **version(910, count)))
    return found
