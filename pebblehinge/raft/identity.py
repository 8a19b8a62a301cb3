"""The identity file of a storage folder.

It keeps a member from starting on another member's state, or on an empty folder after its own state was lost.
"""

from __future__ import annotations

import msgspec

from pebblehinge.raft.errors import IdentityError
from pebblehinge.raft.records import decode_checksummed, encode_checksummed
from pebblehinge.raft.storage import FILE_SUFFIX, STATE_FILE
from pebblehinge.store.disk import Disk

IDENTITY_FILE = "raft.identity"


class Identity(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The group and the name of the member that owns a storage folder."""

    group: str
    name: str


def ensure_identity(disk: Disk, group: str, name: str, allow_empty: bool) -> None:
    """Checks that a folder belongs to this member of this group, and writes the identity file into an empty folder.

    A member that lost its folder must not return under its old name, since it could vote twice in one term. An empty
    folder is therefore accepted only if the operator states that the member has never run before. A member that lost
    its folder is removed from the group and replaced by one with a new name.

    Args:
        disk: The member's folder.
        group: The identifier of the group.
        name: The member's name within the group.
        allow_empty: Whether an empty folder is accepted.

    Raises:
        IdentityError: The folder belongs to another member, holds a log without an identity file, or is empty although
            `allow_empty` is false.
        StorageDamagedError: The identity file is damaged.
    """
    file_names = disk.names()
    if IDENTITY_FILE in file_names:
        owner = decode_checksummed(disk.read(IDENTITY_FILE), Identity, IDENTITY_FILE)
        if owner != Identity(group, name):
            raise IdentityError(f"the folder is {owner.name}'s of group {owner.group!r}, not {name}'s of {group!r}")
        return
    if any(file_name.endswith(FILE_SUFFIX) or file_name == STATE_FILE for file_name in file_names):
        raise IdentityError("the folder holds a log and no identity file, so no member of a group created it")
    if not allow_empty:
        raise IdentityError(
            f"the folder is empty: if {name} has never run before, say --begin; if it lost its folder, remove it from "
            "the group and add a member under a new name"
        )
    disk.replace(IDENTITY_FILE, encode_checksummed(Identity(group, name)))
