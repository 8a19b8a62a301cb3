"""The settings that tests of the replicated configuration propose, and shorthands for commands and allowances."""

from __future__ import annotations

from typing import Any

import msgspec

from pebblehinge.raft import Entry
from pebblehinge.replicated_config.activation import allowances_of
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.settings import Config

RATE_TOLERANCE = 1e-4  # units per second; a gateway that may send nothing for a volume has a rate of 1e-6 there
SETTINGS_TEMPLATE = """
profile look {{
    importance 1
    expected 400ms
    patience 2s
    repeat redoable
}}
plan capped {{
    rate 5/s
    limit {limit}/s
    burst {burst}
    slack 0
}}
volume v {{
    plan capped
    heads {set_size}
    through {through}
}}
{gateway_blocks}
{member_blocks}
group {{
    lease 2s
    drift 5%
    floor 20%
    renew 300ms
    tick 40ms
}}
"""


def settings_text(limit: float = 100, set_size: int = 3, gateway_count: int = 4, loopback: str = "127.0.0.1") -> str:
    """Returns settings with a volume `v` that is limited to `limit` units per second.

    Args:
        limit: The limit; the burst is twice as many units.
        set_size: The number of gateways that share the volume.
        gateway_count: The number of gateways in the settings, h1 and so on.
        loopback: The address on which the gateways and the five members listen.
    """
    gateway_names = [f"h{n}" for n in range(1, gateway_count + 1)]
    gateway_blocks = "\n".join(
        f"head {h} {{\n    listen {loopback}:{7000 + i}\n}}" for i, h in enumerate(gateway_names)
    )
    member_blocks = "\n".join(f"member g{n} {{\n    listen {loopback}:{6000 + n}\n}}" for n in range(1, 6))
    return SETTINGS_TEMPLATE.format(
        limit=limit,
        burst=2 * limit,
        set_size=set_size,
        through=" ".join(gateway_names[:set_size]),
        gateway_blocks=gateway_blocks,
        member_blocks=member_blocks,
    )


def allowed_rate(config: Config | None, gateway: str) -> float:
    """Returns the units per second that a gateway may send for volume `v`; 0 without settings."""
    return 0.0 if config is None else allowances_of(config, gateway).get("v", (0.0, 0.0))[0]


def stored_form(*parts: Any) -> bytes:
    """Returns the stored form of a command: a verb and its values."""
    return msgspec.msgpack.encode(parts)


def apply_entry(state: ConfigState, entry: Entry) -> str:
    """Applies an entry; returns the stored reason for which its command was rejected, "" for success."""
    return state.apply(entry).stored_reason()
