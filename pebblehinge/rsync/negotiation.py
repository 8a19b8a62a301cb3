"""What both sides of a transfer agree on after the arguments: flags, digest and seed."""

from __future__ import annotations

from dataclasses import dataclass, field

from pebblehinge.rsync.digests import TRANSFER_DIGESTS, Digest
from pebblehinge.rsync.errors import EXIT_UNSUPPORTED, RsyncError
from pebblehinge.rsync.flist import ListFormat
from pebblehinge.rsync.numbers import int32, read_byte, read_int, read_varint, read_vstring, varint, vstring
from pebblehinge.rsync.options import Options
from pebblehinge.rsync.stream import Stream

INCREMENTAL_RECURSION = 1
SAFE_FILE_LIST = 8
SEED_BEFORE_DATA = 32
VARINT_FLIST_FLAGS = 128
ID0_NAMES = 256

CAPABILITY_FLAGS = {"C": SEED_BEFORE_DATA, "f": SAFE_FILE_LIST, "v": VARINT_FLIST_FLAGS}
"""The flags that a client's tool can take, by the letters of its capabilities."""

VARINT_CAPABILITY = "v"
COMPRESSIONS = ("zlibx",)
AUTOMATIC = "auto"
MD4_BYTES = 16


@dataclass(slots=True)
class NegotiatedOptions:
    """What both sides agreed on.

    Attributes:
        version: The protocol version.
        login_digests: Digests of the login that the other side lists, if it lists any.
        list_format: The format of the file list.
        digest: The digest of the transfer; set by `negotiate`.
        seed: The seed of its checksums.
        compress: Whether tokens are deflated.
    """

    version: int
    login_digests: list[str] | None = None
    list_format: ListFormat = field(default_factory=lambda: ListFormat(0))
    digest: Digest = field(default_factory=lambda: Digest("md5", 0, 0, seed_first=False))
    seed: int = 0
    compress: bool = False


def choose_common(server: tuple[str, ...], client: list[str]) -> str | None:
    """Returns the first of the client's names that the server has too, or None."""
    return next((name for name in client if name in server), None)


async def negotiate(
    stream: Stream,
    negotiated: NegotiatedOptions,
    options: Options,
    is_server: bool,
    seed: int,
    capabilities: str = "",
) -> None:
    """Exchanges flags, digests and seed, and sets `negotiated` accordingly.

    Args:
        stream: The connection, before it is multiplexed.
        negotiated: What was agreed on so far.
        options: The client's options.
        is_server: Whether this is the server's end.
        seed: The server's seed, unless the client asked for one.
        capabilities: At the client's end, what its tool can do, by letters.

    Raises:
        RsyncError: There is nothing in common.
    """
    version = negotiated.version
    flags = 0
    if version >= 30:
        flags = await _exchange_flags(stream, options, is_server, capabilities)
    negotiated.list_format = _list_format(version, options, flags)
    negotiated.compress = options.compress
    name = await _choose_digest(stream, version, options, is_server, bool(flags & VARINT_FLIST_FLAGS))
    if is_server:
        negotiated.seed = options.seed or seed
        stream.put(int32(negotiated.seed))
        await stream.flush()
    else:
        await stream.flush()
        negotiated.seed = await read_int(stream)
    negotiated.digest = Digest(name, negotiated.seed, version, bool(flags & SEED_BEFORE_DATA))
    if options.checksum:
        has_own_length = version >= 30 or name != "md4"
        negotiated.list_format.digest_bytes = negotiated.digest.length if has_own_length else MD4_BYTES


async def _exchange_flags(stream: Stream, options: Options, is_server: bool, capabilities: str) -> int:
    if is_server:
        flags = sum(flag for letter, flag in CAPABILITY_FLAGS.items() if letter in options.capabilities)
        stream.put(varint(flags) if VARINT_CAPABILITY in options.capabilities else bytes([flags]))
        return flags
    flags = await (read_varint(stream) if VARINT_CAPABILITY in capabilities else read_byte(stream))
    if flags & INCREMENTAL_RECURSION:
        raise RsyncError("the server recurses step by step, which was not offered", EXIT_UNSUPPORTED)
    return flags


def _list_format(version: int, options: Options, flags: int) -> ListFormat:
    return ListFormat(
        version,
        uid=options.uid,
        gid=options.gid,
        links=options.links,
        devices=options.devices,
        specials=options.devices,
        numeric=options.numeric,
        varint_flags=bool(flags & VARINT_FLIST_FLAGS),
        io_error_end=bool(flags & SAFE_FILE_LIST) or version >= 31,
        id0=bool(flags & ID0_NAMES),
    )


async def _choose_digest(stream: Stream, version: int, options: Options, is_server: bool, can_negotiate: bool) -> str:
    if can_negotiate:
        name = await _exchange_names(stream, is_server, options.digest, TRANSFER_DIGESTS)
        if options.compress:
            await _exchange_names(stream, is_server, "", COMPRESSIONS)
        return name
    if options.digest not in ("", "md5", "md4", AUTOMATIC):
        raise RsyncError(f"--checksum-choice={options.digest} needs a newer tool", EXIT_UNSUPPORTED)
    if options.digest not in ("", AUTOMATIC):
        return options.digest
    return "md5" if version >= 30 else "md4"


async def _exchange_names(stream: Stream, is_server: bool, fixed: str, known: tuple[str, ...]) -> str:
    """Both sides send their names; the client's first one that the server has is taken. A fixed one is not sent."""
    if fixed and fixed != AUTOMATIC:
        if fixed not in known:
            raise RsyncError(f"{fixed} is not known here: {' '.join(known)} are", EXIT_UNSUPPORTED)
        return fixed
    stream.put(vstring(" ".join(known).encode()))
    await stream.flush()
    theirs = (await read_vstring(stream)).decode("ascii", "replace").split()
    name = choose_common(known, theirs) if is_server else choose_common(tuple(theirs), list(known))
    if name is None:
        raise RsyncError(f"no sum in common: {' '.join(known)} are known here", EXIT_UNSUPPORTED)
    return name
