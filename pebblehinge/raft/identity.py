"""Whose folder a folder is, so that a member never runs on another's state, or on none where it had some."""

from __future__ import annotations

import msgspec

from pebblehinge.raft.errors import IdentityError
from pebblehinge.raft.records import decode_checksummed, encode_checksummed
from pebblehinge.raft.storage import STATE_FILE, SUFFIX
from pebblehinge.store.disk import Disk

IDENTITY_FILE = "raft.identity"


class Identity(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Group and member, as the folder keeps them."""

    group: str
    name: str


def ensure_identity(disk: Disk, group: str, name: str, allow_empty: bool) -> None:
    """Makes sure that a folder is this member's of this group, and marks an empty one as such.

    A member whose folder was emptied must not come back under its old name: it could vote twice in one term. So an
    empty folder is taken only if the operator says that the member begins (`begin`); one that is replaced is removed
    from the group and added under a new name. Raises IdentityError.
    """
    names = disk.names()
    if IDENTITY_FILE in names:
        found = decode_checksummed(disk.read(IDENTITY_FILE), Identity, IDENTITY_FILE)
        if found != Identity(group, name):
            raise IdentityError(f"the folder is {found.name}'s of group {found.group!r}, not {name}'s of {group!r}")
        return
    if any(stored.endswith(SUFFIX) or stored == STATE_FILE for stored in names):
        raise IdentityError("the folder holds a log and no identity: it was not made by this program's instances")
    if not allow_empty:
        raise IdentityError(
            f"the folder is empty: if {name} has never run before, say --begin; if it lost its folder, remove it from "
            "the group and add an instance under a new name"
        )
    disk.replace(IDENTITY_FILE, encode_checksummed(Identity(group, name)))
