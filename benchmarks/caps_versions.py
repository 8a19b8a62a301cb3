"""Caps of versions and leases. Used by `caps_shared.py`."""

from __future__ import annotations

from caps_points import ENOUGH, NAMED, RAISED, Cap, constant, default
from caps_settings import SCHEMA, TEXT
from caps_sizes import (
    COMING_HEADS,
    HEADS,
    VERSIONS_A_DAY,
)

from pebblehinge.settings.schema import GroupBlock

SERVER, STATE, DIALER, LEASES, PROPOSALS = (
    f"pebblehinge/replicated_config/{n}.py"
    for n in ("server", "state_machine", "member_dialer", "leases", "proposal_queue")
)


KEPT = constant("pebblehinge.replicated_config.state_machine", "MAX_VERSIONS")


VERSION_CAPS = [
    Cap(
        "versions kept",
        STATE,
        "MAX_VERSIONS = ",
        KEPT,
        "versions",
        "the history that `show`, `diff`, `rollback` reach",
        None,
        f"{VERSIONS_A_DAY} a day: 200 are six hours",
        "the oldest that nobody acts on goes",
        NAMED,
        f"{200 * TEXT / 1e6:.0f} MB of text at size in each instance, and as much in each snapshot (reckoned)",
    ),
    Cap(
        "sessions kept",
        STATE,
        "MAX_SESSIONS = ",
        constant("pebblehinge.replicated_config.state_machine", "MAX_SESSIONS"),
        "sessions",
        "proposals that are known when they come again",
        VERSIONS_A_DAY,
        "a day's proposals, a session each",
        "the one used longest ago is forgotten: a repeat of it is refused by its base",
        ENOUGH,
        "about 200 bytes each, 0.2 MB",
    ),
    Cap(
        "versions read by a leader",
        LEASES,
        "MAX_PARSED_VERSIONS = ",
        constant("pebblehinge.replicated_config.leases", "MAX_PARSED_VERSIONS"),
        "versions",
        "what heads that are behind act on",
        2,
        "the active and the pending one; more where heads are cut off",
        "an older one is read again",
        ENOUGH,
        "see the run of the settings' memory",
    ),
    Cap(
        "backlog of an instance",
        SERVER,
        "BACKLOG = ",
        constant("pebblehinge.replicated_config.server", "BACKLOG"),
        "connections",
        "connections not yet accepted: heads after a leader's loss; 256 before",
        HEADS + 64,
        "all heads at once",
        "the kernel drops the rest; they try again after 1 s, then 3 s",
        RAISED,
        "none until they are open",
    ),
    Cap(
        "versions that wait for the pending one",
        PROPOSALS,
        "MAX_QUEUED_PROPOSALS = ",
        constant("pebblehinge.replicated_config.proposal_queue", "MAX_QUEUED_PROPOSALS"),
        "versions",
        "proposals that come while a version is pending; they were refused before",
        10,
        "a burst of ten",
        "refused: so many wait already",
        ENOUGH,
        "a text of 3 MiB each at most",
    ),
    Cap(
        "time to connect to an instance",
        DIALER,
        "DIAL_TIMEOUT_S = ",
        constant("pebblehinge.replicated_config.member_dialer", "DIAL_TIMEOUT_S"),
        "s",
        "a head's try at an instance",
        None,
        "one try of the kernel after a drop comes at 1 s: just too late",
        "the head tries the next instance",
        NAMED,
    ),
    Cap(
        "lease",
        SCHEMA,
        "lease: Ms = ",
        default(GroupBlock, "lease"),
        "ms",
        "how long a head acts without word",
        None,
        f"{COMING_HEADS} heads ask every half second: {2 * COMING_HEADS} renewals a second",
        "the floor",
        NAMED,
    ),
]
