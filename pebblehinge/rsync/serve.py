"""The daemon's end of one connection, from the greeting to the goodbye."""

from __future__ import annotations

import hmac
from typing import Protocol

from pebblehinge.rsync.digests import login_digest, login_response
from pebblehinge.rsync.errors import EXIT_START, EXIT_SYNTAX, EXIT_UNSUPPORTED, RsyncError
from pebblehinge.rsync.greeting import encode_greeting, parse_greeting
from pebblehinge.rsync.negotiation import NegotiatedOptions, negotiate
from pebblehinge.rsync.numbers import int32
from pebblehinge.rsync.option_parser import parse_options
from pebblehinge.rsync.options import Options
from pebblehinge.rsync.receiver import ReceiverSession
from pebblehinge.rsync.sender import SenderSession
from pebblehinge.rsync.stream import TAG_ERROR, TAG_ERROR_EXIT, Stream
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.transfer_report import TransferReport
from pebblehinge.settings.schema import ModuleBlock

MAX_ARGUMENTS = 200

HIDDEN = "hidden"
"""Why a client may not use a module that is shown to it as if it were not there."""

UNKNOWN_USERS_SECRET = b"nobody's"


class ServerContext(Protocol):
    """What a connection may see of the server, and what it is given.

    Attributes:
        modules: The modules, by their names.
        motd: The message of the day, or "".
    """

    modules: dict[str, ModuleBlock]
    motd: str

    def admits(self, module: str) -> str | None:
        """Returns why this client may not use a module, or None; `HIDDEN` if it is not to know of it."""

    def secret(self, user: str) -> bytes | None:
        """Returns a user's secret, or None if there is no such user."""

    def challenge(self) -> bytes:
        """Returns a random challenge for a login."""

    def seed(self) -> int:
        """Returns a random seed for the checksums of a transfer."""

    def begin(self, module: str, user: str) -> Transfer | str:
        """Begins a transfer, or returns why there can be none now."""


async def serve(stream: Stream, context: ServerContext, report: TransferReport) -> None:
    """Serves one connection to its end.

    Args:
        stream: The connection.
        context: What it may see of the server.
        report: Gets what became of it, also where this raises.

    Raises:
        RsyncError: It ended with nothing more to be said, as the client is gone.
    """
    stream.put(encode_greeting())
    await stream.flush()
    try:
        negotiated = parse_greeting(await stream.line())
        name = (await stream.line()).decode("utf-8", "replace").strip()
        if name in ("", "#list"):
            _put_module_list(stream, context)
            report.ended = True
            await stream.flush()
            return
        _check_module(context, name)
        report.module = name
        report.user = await _log_in(stream, context, name, negotiated)
        stream.put(b"@RSYNCD: OK\n")
        await stream.flush()
        arguments = await _read_arguments(stream, negotiated.version)
    except RsyncError as error:
        report.error, report.code = str(error), error.code
        stream.put(b"@ERROR: " + str(error).encode("utf-8", "surrogateescape") + b"\n")
        await stream.flush()
        return
    await _run_transfer(stream, context, negotiated, arguments, report)


def _put_module_list(stream: Stream, context: ServerContext) -> None:
    if context.motd:
        stream.put(context.motd.encode() + b"\n")
    for name, block in context.modules.items():
        if block.listed and context.admits(name) != HIDDEN:
            stream.put(f"{name:<15}\t{block.comment}\n".encode())
    stream.put(b"@RSYNCD: EXIT\n")


def _check_module(context: ServerContext, name: str) -> None:
    """Raises RsyncError if the client may not use a module."""
    if name.startswith("#"):
        raise RsyncError(f"command {name[:40]!r} is not known here", EXIT_SYNTAX)
    refusal = context.admits(name) if name in context.modules else HIDDEN
    if refusal == HIDDEN:
        raise RsyncError(f"Unknown module '{name[:80]}'", EXIT_START)
    if refusal is not None:
        raise RsyncError(refusal, EXIT_START)


async def _log_in(stream: Stream, context: ServerContext, module: str, negotiated: NegotiatedOptions) -> str:
    """Returns the user's name, or "" where the module asks for none; raises RsyncError for a wrong answer."""
    block = context.modules[module]
    if not block.users:
        return ""
    challenge = context.challenge()
    stream.put(b"@RSYNCD: AUTHREQD " + challenge + b"\n")
    await stream.flush()
    user, _, response = (await stream.line()).partition(b" ")
    name = user.decode("utf-8", "replace")
    secret = context.secret(name) if name in block.users else None
    digest = login_digest(negotiated.version, negotiated.login_digests)
    # A digest is taken whoever asks, so that the time it takes does not tell which users there are.
    known_secret = secret if secret is not None else UNKNOWN_USERS_SECRET
    expected = login_response(digest, known_secret, challenge, negotiated.version)
    if not hmac.compare_digest(expected, response.rstrip(b"=")) or secret is None:
        raise RsyncError(f"auth failed on module {module}", EXIT_START)
    return name


async def _read_arguments(stream: Stream, version: int) -> list[bytes]:
    end = b"\0" if version >= 30 else b"\n"
    arguments = []
    while argument := await stream.line(end):
        arguments.append(argument)
        if len(arguments) > MAX_ARGUMENTS:
            raise RsyncError(f"more than {MAX_ARGUMENTS} arguments", EXIT_SYNTAX)
    return arguments


async def _run_transfer(
    stream: Stream,
    context: ServerContext,
    negotiated: NegotiatedOptions,
    arguments: list[bytes],
    report: TransferReport,
) -> None:
    """Runs the transfer. From the arguments on, errors are sent as messages, which the client's tool shows."""
    transfer: Transfer | None = None
    try:
        options, problem = _read_options(arguments, context.modules[report.module])
        report.push = not options.sender
        await negotiate(stream, negotiated, options, is_server=True, seed=context.seed())
        stream.start_frames_out()
        if negotiated.version >= 30:
            stream.start_frames_in()
        if problem is not None:
            raise problem
        begun = context.begin(report.module, report.user)
        if isinstance(begun, str):
            raise RsyncError(begun, EXIT_START)
        transfer = begun
        session_type = SenderSession if options.sender else ReceiverSession
        await session_type(stream, transfer, negotiated, options, report).run()
        await stream.flush()
        report.ended = True
    except RsyncError as error:
        report.error, report.code = str(error), error.code
        stream.message(TAG_ERROR, (str(error) + "\n").encode("utf-8", "surrogateescape"))
        if negotiated.version >= 31:
            stream.message(TAG_ERROR_EXIT, int32(error.code))
        await stream.flush()
    finally:
        if transfer is not None:
            transfer.end()


def _read_options(arguments: list[bytes], block: ModuleBlock) -> tuple[Options, RsyncError | None]:
    """Returns the client's options, and what is wrong with them, which is said after the negotiation."""
    options = Options()
    try:
        options = parse_options(arguments)
        _check_options(options, block)
    except RsyncError as error:
        described = (a.decode("ascii", "replace").partition("e.")[2] for a in arguments if b"e." in a)
        options.capabilities = next(described, "")
        options.digest, options.compress = "", False
        return options, error
    return options, None


def _check_options(options: Options, block: ModuleBlock) -> None:
    if not options.sender and block.read_only:
        raise RsyncError("this module is read only", EXIT_SYNTAX)
    if not options.sender and options.append == 1:
        text = "--append is declined: what stands is never trusted unseen; --append-verify is known"
        raise RsyncError(text, EXIT_UNSUPPORTED)
