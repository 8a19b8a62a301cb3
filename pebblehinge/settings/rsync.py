"""Blocks of the settings for rsync clients, one struct per block."""

from __future__ import annotations

from msgspec import field

from pebblehinge.settings.units import Block, Count, Ms, Name, NonNegativeInt, Path, Size


class RsyncBlock(Block):
    """`rsync { ... }`: limits of one gateway for all its rsync clients together."""

    transfers: Count = 200  # concurrent transfers
    accesses: Count = 48  # concurrent requests of all transfers together
    each: Count = 12  # concurrent requests of one transfer
    stall: Ms = 60_000.0  # a connection is closed after this time without a byte sent or read by the client
    login: Ms = 10_000.0  # time limit until a client has named its module
    stop: Ms = 20_000.0  # time that transfers have to end when the gateway shuts down
    lag: Ms = 250.0  # event loop lag beyond which the gateway rejects new transfers
    parts: Count = 1_000  # partial uploads that are kept for a retry
    parts_for: Ms = 900_000.0  # how long a partial upload is kept
    motd: str = ""  # text that each client gets when it connects


class ModuleBlock(Block):
    """`module NAME { ... }`: a file tree on a volume, for rsync clients."""

    volume: Name
    read: Name  # request classes of its requests: `read`, `write`, `commit`
    write: Name
    commit: Name
    comment: str = ""
    read_only: bool = True
    listed: bool = True  # whether the list of modules shows it
    allow: list[str] = field(default_factory=list)  # addresses and networks of clients; none: all
    deny: list[str] = field(default_factory=list)  # addresses and networks that are refused
    users: list[Name] = field(default_factory=list)  # users who may log in; none: no login is needed
    patience: Ms = 4_000.0  # time limit of one request
    deadline: Ms = 600_000.0  # time limit of one transfer
    block: Size = 128 << 10  # bytes of file data per request
    unit: Size = 64 << 10  # bytes that cost one unit
    ahead: Size = 1 << 20  # bytes of a file that are read ahead or not yet written
    max_size: Size = 1 << 34  # largest file
    max_files: Count = 100_000
    max_list: Size = 64 << 20  # memory of one transfer's file list: about 100 bytes and the name per file
    max_delete: NonNegativeInt = 1_000  # deletions per transfer


class UserBlock(Block):
    """`user NAME { ... }`: a user who may log in to modules; either the secret or its file is stated."""

    secret: str = ""
    secret_file: Path | None = None
