"""What may stand in the settings for rsync clients: one struct a block."""

from __future__ import annotations

from msgspec import field

from pebblehinge.settings.units import Block, Count, Ms, Name, NonNegativeInt, Path, Size


class RsyncBlock(Block):
    """rsync { ... }: what rsync clients get of each head together."""

    transfers: Count = 200  # under way together
    accesses: Count = 48  # of all transfers, out together at most
    each: Count = 12  # of one transfer
    stall: Ms = 60_000.0  # a client that neither sends nor reads for so long is cut
    login: Ms = 10_000.0  # until a client has named its module
    stop: Ms = 20_000.0  # transfers get so long to end when the head is told to stop
    lag: Ms = 250.0  # a head that is late by so much begins no transfer
    parts: Count = 1_000  # interrupted pushes that are kept for their repeat
    parts_for: Ms = 900_000.0
    motd: str = ""


class ModuleBlock(Block):
    """module NAME { ... }: a tree of files on a volume, for rsync clients."""

    volume: Name
    read: Name  # profiles of its accesses
    write: Name
    commit: Name
    comment: str = ""
    read_only: bool = True
    listed: bool = True
    allow: list[str] = field(default_factory=list)  # addresses and networks; none: all
    deny: list[str] = field(default_factory=list)
    users: list[Name] = field(default_factory=list)  # none: nobody is asked who he is
    patience: Ms = 4_000.0  # of one access
    deadline: Ms = 600_000.0  # of one transfer
    block: Size = 128 << 10
    unit: Size = 64 << 10  # bytes that count as a unit of an access
    ahead: Size = 1 << 20  # bytes of a file that are read ahead or not yet written
    max_size: Size = 1 << 34
    max_files: Count = 100_000
    max_list: Size = 64 << 20  # memory of one transfer's list of files, about 100 bytes and its name each
    max_delete: NonNegativeInt = 1_000


class UserBlock(Block):
    """user NAME { ... }: one who may log in to modules."""

    secret: str = ""
    secret_file: Path | None = None
