"""`pebblehinge rsync-client`: the stand-in rsync client.

The client's packages are imported in the functions that use them (see `pebblehinge.cli`).
"""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from typing import TYPE_CHECKING

import click

from pebblehinge.cli.base import AS_JSON, give_up, main, run
from pebblehinge.net import parse_address

if TYPE_CHECKING:
    from pebblehinge.lab.rsync_call import Call

TRANSFERS = ("pull", "push")
SAVED_CODES = (0, 23)
"""Exit codes of a pull whose files are written: success, and a partial transfer due to an error."""
PATIENCE_MS = 60_000.0


@main.command(name="rsync-client")
@click.argument("verb", type=click.Choice(["modules", "list", "pull", "push"]))
@click.argument("where", metavar="HOST:PORT[/MODULE[/PATH]]")
@click.argument("local", required=False, type=click.Path())
@click.option("--version", type=click.IntRange(27, 31), default=31, show_default=True, help="Of the protocol.")
@click.option("--user", default="", help="Who logs in; the secret comes from --secret-file.")
@click.option("--secret-file", type=click.Path(dir_okay=False), help="Its first line.")
@click.option("--compress", is_flag=True, help="Deflate what is sent.")
@click.option("--checksum", is_flag=True, help="Compare files by their sums.")
@click.option("--delete", is_flag=True, help="With push: remove there what is not here.")
@click.option("--filter", "filters", multiple=True, help="A rule such as '- *.tmp'.")
@AS_JSON
def rsync_client(
    verb: str,
    where: str,
    local: str | None,
    version: int,
    user: str,
    secret_file: str | None,
    compress: bool,
    checksum: bool,
    delete: bool,
    filters: tuple[str, ...],
    as_json: bool,
) -> None:
    """The stand-in rsync client: list modules or files, pull to LOCAL or push LOCAL. Exits as such tools do."""
    from pebblehinge.lab.rsync_call import Call  # noqa: PLC0415

    address, _, path = where.partition("/")
    module, _, path = path.partition("/")
    if verb != "modules" and not module:
        give_up("a module is missing: HOST:PORT/MODULE")
    if verb in TRANSFERS and local is None:
        give_up(f"{verb} needs a local path")

    async def transfer(loop: asyncio.AbstractEventLoop) -> int:
        wanted = Call(module, version, user=user, compress=compress, checksum=checksum, delete=delete)
        wanted.filters = [os.fsencode(f) for f in filters]
        host, port = prepare(wanted, address, verb, local, secret_file)
        await exchange(loop, wanted, host, port, verb, path)
        show_lines(wanted, verb)
        if verb == "pull":
            save_pulled(wanted, local)
        if wanted.error:
            click.echo(f"pebblehinge: {wanted.error}", err=True)
        show_totals(wanted, verb, as_json)
        return wanted.code

    run(transfer)


def prepare(wanted: Call, address: str, verb: str, local: str | None, secret_file: str | None) -> tuple[str, int]:
    """Reads the secret and the local files into a call; returns host and port; exits where any is unusable."""
    from pebblehinge.lab.file_tree import FileTreeError, read_tree  # noqa: PLC0415

    try:
        host, port = parse_address(address)
        if secret_file is not None:
            wanted.secret = Path(secret_file).read_bytes().splitlines()[0]
        if local is not None and (verb == "push" or Path(local).is_dir()):
            wanted.files = read_tree(Path(local))
    except (ValueError, IndexError, FileTreeError) as error:
        give_up(str(error) or f"{secret_file} is empty")
    return host, port


async def exchange(loop: asyncio.AbstractEventLoop, wanted: Call, host: str, port: int, verb: str, path: str) -> None:
    """Plays a call on a connection of its own; what happened stands in the call.

    Raises:
        OSError: No connection could be made.
    """
    from pebblehinge.lab.rsync_client import call  # noqa: PLC0415
    from pebblehinge.rsync.stream_protocol import StreamProtocol  # noqa: PLC0415

    line = StreamProtocol(loop, PATIENCE_MS)
    await loop.create_connection(lambda: line, host, port)
    await call(line.stream, wanted, verb, path)
    line.close()


def show_lines(wanted: Call, verb: str) -> None:
    """Prints what the server sent: its lines and, with the verb `list`, the files; its messages as errors."""
    for text in wanted.lines:
        click.echo(text)
    for _, text in wanted.said:
        click.echo(text, err=True)
    if verb != "list":
        return
    for entry in wanted.listed:
        kind = "d" if entry.is_directory else "-" if entry.is_file else "l"
        click.echo(f"{kind} {entry.size:>12} {entry.mtime} {os.fsdecode(entry.name)}")


def save_pulled(wanted: Call, local: str | None) -> None:
    """Writes the files that a pull brought, where it ended whole or in part; exits where they can't be written."""
    from pebblehinge.lab.file_tree import FileTreeError, write_tree  # noqa: PLC0415

    if wanted.code not in SAVED_CODES:
        return
    try:
        write_tree(Path(local or "."), wanted.files)
    except FileTreeError as error:
        give_up(str(error))


def show_totals(wanted: Call, verb: str, as_json: bool) -> None:
    """Prints what was transferred: one JSON object, or a line after a pull or push."""
    moved, literal, matched = len(wanted.moved), wanted.literal, wanted.matched
    if as_json:
        totals = {"code": wanted.code, "error": wanted.error, "files": moved, "literal": literal, "matched": matched}
        click.echo(json.dumps(totals))
    elif verb in TRANSFERS:
        click.echo(f"{moved} files, {literal} bytes sent, {matched} matched")
