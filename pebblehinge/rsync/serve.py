"""The daemon's end of one connection, from the greeting to the goodbye. What a client may see comes from `house`."""

from __future__ import annotations

import hmac
from typing import Protocol

from pebblehinge.rsync.digests import login, login_digest
from pebblehinge.rsync.greeting import Agreed, hello, read_hello, settle
from pebblehinge.rsync.numbers import int32
from pebblehinge.rsync.options import Options, parse
from pebblehinge.rsync.receiver import Receiving
from pebblehinge.rsync.sender import Sending
from pebblehinge.rsync.stream import ERROR, ERROR_EXIT, SYNTAX, RsyncError, Stream
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.transfer_report import Told
from pebblehinge.settings.schema import ModuleBlock

MOST_ARGUMENTS = 200


class House(Protocol):
    """What a connection may see, and what it is given."""

    modules: dict[str, ModuleBlock]
    motd: str

    def admits(self, module: str) -> str | None: ...
    def secret(self, user: str) -> bytes | None: ...
    def challenge(self) -> bytes: ...
    def seed(self) -> int: ...
    def begin(self, module: str, user: str) -> Transfer | str: ...


class Turned(Exception):
    """The connection ended before a transfer began, and its client was told why."""


async def serve(stream: Stream, house: House, told: Told) -> None:
    """One connection. Ends when all is said; raises RsyncError only where nothing can be said any more."""
    stream.put(hello())
    await stream.flush()
    try:
        agreed = read_hello(await stream.line())
        name = (await stream.line()).decode("utf-8", "replace").strip()
        if name in ("", "#list"):
            _say_list(stream, house)
            raise Turned()
        if name.startswith("#"):
            raise RsyncError(f"command {name[:40]!r} is not known here", SYNTAX)
        block = house.modules.get(name)
        if block is None or (reason := house.admits(name)) == "hidden":
            raise RsyncError(f"Unknown module '{name[:80]}'", 5)
        if reason is not None:
            raise RsyncError(reason, 5)
        told.module, told.user = name, await _log_in(stream, house, name, agreed)
        stream.put(b"@RSYNCD: OK\n")
        await stream.flush()
        words = await _arguments(stream, agreed.version)
    except RsyncError as error:
        told.error, told.code = str(error), error.code
        stream.put(b"@ERROR: " + str(error).encode("utf-8", "surrogateescape") + b"\n")
        await stream.flush()
        return
    except Turned:
        told.ended = True
        await stream.flush()
        return
    await _transfer(stream, house, agreed, words, told)


def _say_list(stream: Stream, house: House) -> None:
    if house.motd:
        stream.put(house.motd.encode() + b"\n")
    for name, block in house.modules.items():
        if block.listed and house.admits(name) != "hidden":
            stream.put(f"{name:<15}\t{block.comment}\n".encode())
    stream.put(b"@RSYNCD: EXIT\n")


async def _log_in(stream: Stream, house: House, module: str, agreed: Agreed) -> str:
    block = house.modules[module]
    if not block.users:
        return ""
    challenge = house.challenge()
    stream.put(b"@RSYNCD: AUTHREQD " + challenge + b"\n")
    await stream.flush()
    user, _, answer = (await stream.line()).partition(b" ")
    name = user.decode("utf-8", "replace")
    secret = house.secret(name) if name in block.users else None
    kind = login_digest(agreed.version, agreed.digests)
    # A sum is taken whoever asks, so that the time it takes does not tell which users there are.
    wanted = login(kind, secret if secret is not None else b"nobody's", challenge, agreed.version)
    if not hmac.compare_digest(wanted, answer.rstrip(b"=")) or secret is None:
        raise RsyncError(f"auth failed on module {module}", 5)
    return name


async def _arguments(stream: Stream, version: int) -> list[bytes]:
    end = b"\0" if version >= 30 else b"\n"
    words = []
    while word := await stream.line(end):
        words.append(word)
        if len(words) > MOST_ARGUMENTS:
            raise RsyncError(f"more than {MOST_ARGUMENTS} arguments", SYNTAX)
    return words


async def _transfer(stream: Stream, house: House, agreed: Agreed, words: list[bytes], told: Told) -> None:
    """From the arguments on what goes wrong is said within frames, which the client's tool shows."""
    transfer: Transfer | None = None
    try:
        problem: RsyncError | None = None
        options = Options()
        try:
            options = parse(words)
            _check(options, house.modules[told.module])
        except RsyncError as error:
            problem = error
            options.able = next((w.decode("ascii", "replace").partition("e.")[2] for w in words if b"e." in w), "")
            options.digest, options.compress = "", False
        told.push = not options.sender
        await settle(stream, agreed, options, True, house.seed())
        stream.start_frames_out()
        if agreed.version >= 30:
            stream.unread()
        if problem is not None:
            raise problem
        got = house.begin(told.module, told.user)
        if isinstance(got, str):
            raise RsyncError(got, 5)
        transfer = got
        if options.sender:
            await Sending(stream, transfer, agreed, options, told).run()
        else:
            await Receiving(stream, transfer, agreed, options, told).run()
        await stream.flush()
        told.ended = True
    except RsyncError as error:
        told.error, told.code = str(error), error.code
        stream.message(ERROR, (str(error) + "\n").encode("utf-8", "surrogateescape"))
        if agreed.version >= 31:
            stream.message(ERROR_EXIT, int32(error.code))
        await stream.flush()
    finally:
        if transfer is not None:
            transfer.end()


def _check(options: Options, block: ModuleBlock) -> None:
    if not options.sender and block.read_only:
        raise RsyncError("this module is read only", SYNTAX)
    if not options.sender and options.append == 1:
        raise RsyncError("--append is declined: what stands is never trusted unseen; --append-verify is known", 4)
