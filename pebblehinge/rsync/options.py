"""What a client asks for."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Options:
    """One transfer's options.

    Attributes:
        sender: Whether the server sends: the client pulls.
        recursive: What is in directories belongs to the transfer.
        dirs: Directories belong to it without what is in them.
        links: Symbolic links belong to it.
        uid: The list holds owners.
        gid: The list holds groups.
        devices: The list holds devices and special files.
        times: Times are set.
        numeric: The list holds no names of owners and groups.
        checksum: Files are compared by their digests.
        ignore_times: Files of the same size and time are transferred, too.
        size_only: Files of the same size are alike.
        update: Files that are newer at the receiver are left alone.
        existing: Files that the receiver does not have are left out.
        ignore_existing: Files that the receiver has are left out.
        dry_run: Nothing is changed.
        list_only: The list alone is asked for.
        delete: What the sender does not have is deleted.
        delete_excluded: Also what the filters leave out.
        prune_empty: Empty directories are left out.
        max_delete: Deletions, at most; -1: no limit.
        append: 1: what the receiver has is trusted to be the beginning of a file, 2: it is part of the digest.
        whole: Files are sent without a basis.
        compress: Tokens are deflated.
        timeout: Of the client, in seconds.
        block: Length of a block in bytes; 0: as the size has it.
        digest: The digest asked for, or "".
        seed: The seed asked for, or 0.
        max_size: Length of a file in bytes, at most; -1: no limit.
        min_size: Length of a file in bytes, at least; -1: no limit.
        capabilities: What the client's tool can do, by letters.
        paths: The paths, each with the module's name before it.
    """

    sender: bool = False
    recursive: bool = False
    dirs: bool = False
    links: bool = False
    uid: bool = False
    gid: bool = False
    devices: bool = False
    times: bool = False
    numeric: bool = False
    checksum: bool = False
    ignore_times: bool = False
    size_only: bool = False
    update: bool = False
    existing: bool = False
    ignore_existing: bool = False
    dry_run: bool = False
    list_only: bool = False
    delete: bool = False
    delete_excluded: bool = False
    prune_empty: bool = False
    max_delete: int = -1
    append: int = 0
    whole: bool = False
    compress: bool = False
    timeout: float = 0.0
    block: int = 0
    digest: str = ""
    seed: int = 0
    max_size: int = -1
    min_size: int = -1
    capabilities: str = ""
    paths: list[bytes] = field(default_factory=list)


def receiver_wants_filters(options: Options, version: int) -> bool:
    """Whether a client that pushes sends its filter rules first: if the receiver needs them to delete or prune."""
    return options.prune_empty or (options.delete and (not options.delete_excluded or version >= 29))
