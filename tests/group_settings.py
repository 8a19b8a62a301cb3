"""The settings that the tests of shared configuration agree on, and a head's part of their limit."""

from __future__ import annotations

from typing import Any

import msgspec

from pebblehinge.raft import Entry
from pebblehinge.replicated_config.activation import allowances_of
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.settings import Config

RATE_TOLERANCE = 1e-4  # a volume that a head may send nothing for has a millionth of a unit a second there
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
    heads {heads}
    through {through}
}}
{blocks}
{members}
group {{
    lease 2s
    drift 5%
    floor 20%
    renew 300ms
    tick 40ms
}}
"""


def settings_text(limit: float = 100, set_size: int = 3, gateway_count: int = 4, loopback: str = "127.0.0.1") -> str:
    every = [f"h{n}" for n in range(1, gateway_count + 1)]
    blocks = "\n".join(f"head {h} {{\n    listen {loopback}:{7000 + i}\n}}" for i, h in enumerate(every))
    members = "\n".join(f"member g{n} {{\n    listen {loopback}:{6000 + n}\n}}" for n in range(1, 6))
    return SETTINGS_TEMPLATE.format(
        limit=limit, burst=2 * limit, heads=set_size, through=" ".join(every[:set_size]), blocks=blocks, members=members
    )


def allowed_rate(config: Config | None, head: str) -> float:
    return 0.0 if config is None else allowances_of(config, head).get("v", (0.0, 0.0))[0]


def stored_form(*parts: Any) -> bytes:
    """A command as the log stores it."""
    return msgspec.msgpack.encode(parts)


def apply_entry(state: ConfigState, entry: Entry) -> str:
    """Applies an entry; the reason for which it was not done, or "" as the log's sessions have it."""
    return state.apply(entry).stored_reason()
