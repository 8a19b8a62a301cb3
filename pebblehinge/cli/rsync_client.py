"""The command `pebblehinge rsync-client`, a stand-in rsync client.

The client's packages are imported in the functions that use them (see `pebblehinge.cli`).
"""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from typing import TYPE_CHECKING

import click

from pebblehinge.cli.base import AS_JSON, exit_with_error, main, run
from pebblehinge.net import parse_address

if TYPE_CHECKING:
    from pebblehinge.lab.rsync_call import Call

TRANSFERS = ("pull", "push")
WRITTEN_EXIT_CODES = (0, 23)
"""Exit codes of a pull whose files are written: success, and a partial transfer due to an error."""
STALL_TIMEOUT_MS = 60_000.0


@main.command(name="rsync-client")
@click.argument("verb", type=click.Choice(["modules", "list", "pull", "push"]))
@click.argument("where", metavar="HOST:PORT[/MODULE[/PATH]]")
@click.argument("local", required=False, type=click.Path())
@click.option("--version", type=click.IntRange(27, 31), default=31, show_default=True, help="Protocol version.")
@click.option("--user", default="", help="User to log in as; see --secret-file.")
@click.option("--secret-file", type=click.Path(dir_okay=False), help="File with the secret in its first line.")
@click.option("--compress", is_flag=True, help="Compress the data sent.")
@click.option("--checksum", is_flag=True, help="Compare files by checksum.")
@click.option("--delete", is_flag=True, help="With push: delete remote files that don't exist locally.")
@click.option("--filter", "filters", multiple=True, help="Filter rule such as '- *.tmp'.")
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
    """Run the stand-in rsync client: list modules or files, pull to LOCAL or push LOCAL. Exit codes are rsync's."""
    from pebblehinge.lab.rsync_call import Call  # noqa: PLC0415

    address, _, path = where.partition("/")
    module, _, path = path.partition("/")
    if verb != "modules" and not module:
        exit_with_error("a module is missing: expected HOST:PORT/MODULE")
    if verb in TRANSFERS and local is None:
        exit_with_error(f"{verb} needs a local path")

    async def transfer(loop: asyncio.AbstractEventLoop) -> int:
        rsync_call = Call(module, version, user=user, compress=compress, checksum=checksum, delete=delete)
        rsync_call.filters = [os.fsencode(f) for f in filters]
        host, port = prepare_call(rsync_call, address, verb, local, secret_file)
        await run_call(loop, rsync_call, host, port, verb, path)
        show_lines(rsync_call, verb)
        if verb == "pull":
            save_pulled(rsync_call, local)
        if rsync_call.error:
            click.echo(f"pebblehinge: {rsync_call.error}", err=True)
        show_totals(rsync_call, verb, as_json)
        return rsync_call.code

    run(transfer)


def prepare_call(
    rsync_call: Call, address: str, verb: str, local: str | None, secret_file: str | None
) -> tuple[str, int]:
    """Reads the secret and the local files into a call; returns host and port; exits if any is unusable."""
    from pebblehinge.lab.file_tree import FileTreeError, read_tree  # noqa: PLC0415

    try:
        host, port = parse_address(address)
        if secret_file is not None:
            rsync_call.secret = Path(secret_file).read_bytes().splitlines()[0]
        if local is not None and (verb == "push" or Path(local).is_dir()):
            rsync_call.files = read_tree(Path(local))
    except (ValueError, IndexError, FileTreeError) as error:
        exit_with_error(str(error) or f"{secret_file} is empty")
    return host, port


async def run_call(
    loop: asyncio.AbstractEventLoop, rsync_call: Call, host: str, port: int, verb: str, path: str
) -> None:
    """Runs a call on a new connection and records its outcome in the call.

    Raises:
        OSError: If the connection fails.
    """
    from pebblehinge.lab.rsync_client import call  # noqa: PLC0415
    from pebblehinge.rsync.stream_protocol import StreamProtocol  # noqa: PLC0415

    connection = StreamProtocol(loop, STALL_TIMEOUT_MS)
    await loop.create_connection(lambda: connection, host, port)
    await call(connection.stream, rsync_call, verb, path)
    connection.close()


def show_lines(rsync_call: Call, verb: str) -> None:
    """Prints the server's lines and, for the verb `list`, its files; its messages go to standard error."""
    for text in rsync_call.lines:
        click.echo(text)
    for _, text in rsync_call.said:
        click.echo(text, err=True)
    if verb != "list":
        return
    for entry in rsync_call.listed:
        kind = "d" if entry.is_directory else "-" if entry.is_file else "l"
        click.echo(f"{kind} {entry.size:>12} {entry.mtime} {os.fsdecode(entry.name)}")


def save_pulled(rsync_call: Call, local: str | None) -> None:
    """Writes the files of a complete or partial pull; exits if they can't be written."""
    from pebblehinge.lab.file_tree import FileTreeError, write_tree  # noqa: PLC0415

    if rsync_call.code not in WRITTEN_EXIT_CODES:
        return
    try:
        write_tree(Path(local or "."), rsync_call.files)
    except FileTreeError as error:
        exit_with_error(str(error))


def show_totals(rsync_call: Call, verb: str, as_json: bool) -> None:
    """Prints the totals of a transfer as one JSON object, or as one line after a pull or push."""
    file_count, literal_bytes, matched_bytes = len(rsync_call.moved), rsync_call.literal, rsync_call.matched
    if as_json:
        totals = {
            "code": rsync_call.code,
            "error": rsync_call.error,
            "files": file_count,
            "literal": literal_bytes,
            "matched": matched_bytes,
        }
        click.echo(json.dumps(totals))
    elif verb in TRANSFERS:
        click.echo(f"{file_count} files, {literal_bytes} bytes sent, {matched_bytes} matched")
