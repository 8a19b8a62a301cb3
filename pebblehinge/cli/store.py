"""`pebblehinge store`: a journal looked at, verified, exported, replayed.

Packages of one command are imported in the function that uses them (see `pebblehinge.cli`).
"""

from __future__ import annotations

import asyncio
import json
import sys
from enum import Enum, auto
from pathlib import Path
from typing import TYPE_CHECKING

import click

from pebblehinge.cli.base import AS_JSON, give_up, main, run

if TYPE_CHECKING:
    from pebblehinge.client import Client, Result
    from pebblehinge.store import RealDisk
    from pebblehinge.store.inspection import Inspection
    from pebblehinge.store.records import Write

PATIENCE_MS = 4000.0
"""The deadline of each request of a replay."""
ATTEMPTS = 50
"""Of a replay for each write."""
SHORTEST_PAUSE_S = 0.1
SHOWN_WRITES = 20


@main.group()
def store() -> None:
    """A head's journal, read elsewhere: for a head that will not come back."""


FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False))


def open_journal(folder: str) -> tuple[RealDisk, Inspection]:
    """Returns a folder's disk and what its journal holds; changes nothing."""
    from pebblehinge.store import RealDisk  # noqa: PLC0415
    from pebblehinge.store.inspection import inspect_journal  # noqa: PLC0415

    disk = RealDisk(folder)
    return disk, inspect_journal(disk)


@store.command(name="inspect")
@FOLDER
@AS_JSON
def store_inspect(folder: str, as_json: bool) -> None:
    """What FOLDER holds: nothing is changed."""
    _, found = open_journal(folder)
    live = len(found.writes)
    live_bytes = sum(len(write.data) for write in found.writes)
    if as_json:
        fields = ("segments", "bytes", "fenced", "damage", "done", "barriers")
        shown = {name: getattr(found, name) for name in fields} | {"live": live, "live_bytes": live_bytes}
        click.echo(json.dumps(shown))
        return
    click.echo(
        f"{found.segments} segments, {found.bytes} bytes; {live} writes not yet at their shelfs "
        f"({live_bytes} bytes), {found.done} done, {found.barriers} barriers"
    )
    for write in found.writes[:SHOWN_WRITES]:
        click.echo(f"  {write.number}: {write.volume}/{write.extent} at {write.offset}, {len(write.data)} bytes")
    for line in found.damage:
        click.echo(f"damage: {line}")
    if found.fenced:
        click.echo("fenced: another has taken it over")


@store.command(name="verify")
@FOLDER
def store_verify(folder: str) -> None:
    """Exit 0 where all that was promised can be read, 1 and the places where not."""
    from pebblehinge.store import StorageError  # noqa: PLC0415
    from pebblehinge.store.segment import read_segment  # noqa: PLC0415

    disk, found = open_journal(folder)
    names = sorted(n for n in disk.names() if n.startswith("journal-"))
    try:
        for i, name in enumerate(names):
            read_segment(name, disk.read(name), i == len(names) - 1)
    except StorageError as error:
        click.echo(str(error))
        sys.exit(1)
    click.echo(f"sound: {len(found.writes)} writes not yet at their shelfs")


@store.command(name="export")
@FOLDER
@click.argument("target", type=click.Path(file_okay=False))
def store_export(folder: str, target: str) -> None:
    """Write what can be read of FOLDER's live writes to files below TARGET: VOLUME/EXTENT, by offset."""
    _, found = open_journal(folder)
    for write in found.writes:
        path = Path(target) / write.volume / write.extent.replace("/", "%2F")
        path.parent.mkdir(parents=True, exist_ok=True)
        with path.open("r+b" if path.exists() else "wb") as file:
            file.seek(write.offset)
            file.write(write.data)
    click.echo(f"{len(found.writes)} writes")
    sys.exit(1 if found.damage else 0)


@store.command(name="replay")
@FOLDER
@click.argument("address", metavar="HOST:PORT")
@click.option("--profile", required=True, help="Of the accesses.")
def store_replay(folder: str, address: str, profile: str) -> None:
    """Fence FOLDER, then bring its live writes through the head at HOST:PORT, in order, each once."""
    from pebblehinge.client import connect  # noqa: PLC0415
    from pebblehinge.store import StorageError  # noqa: PLC0415
    from pebblehinge.store.journal import fence  # noqa: PLC0415

    disk, found = open_journal(folder)
    try:
        disk.acquire_lock()
    except StorageError as error:
        give_up(f"{error}: a head that runs brings its writes itself")
    if found.damage and any("promised" in line for line in found.damage):
        click.echo("\n".join(found.damage), err=True)
    fence(disk, f"replay through {address}")

    async def bring_all(loop: asyncio.AbstractEventLoop) -> int:
        client = await connect(address, name="replay", loop=loop)
        brought = 0
        for write in found.writes:
            outcome, reply = await bring(client, write, profile)
            if outcome is Bringing.FAILED:
                click.echo(f"write {write.number} could not be brought: {reply.final} {reply.reason}", err=True)
                return 1
            brought += outcome is Bringing.BROUGHT
        client.close()
        click.echo(f"{brought} writes brought, {len(found.writes) - brought} stood already")
        return 0

    run(bring_all)


class Bringing(Enum):
    """What became of a write of the journal."""

    BROUGHT = auto()
    STOOD_ALREADY = auto()
    FAILED = auto()


async def bring(client: Client, write: Write, profile: str) -> tuple[Bringing, Result]:
    """Writes what a journal holds through a gateway, unless a read shows that it is there; retries both.

    Args:
        client: Is connected to the gateway.
        write: Of the journal.
        profile: The requests' class.

    Returns:
        What became of it, and the last reply.
    """

    async def read() -> Result:
        return await client.read(
            write.volume,
            write.extent,
            len(write.data),
            offset=write.offset,
            profile=profile,
            slot=write.slot,
            units=write.units,
            patience_ms=PATIENCE_MS,
        )

    async def rewrite() -> Result:
        return await client.write(
            write.volume,
            write.extent,
            write.data,
            offset=write.offset,
            label=f"wb.{write.idempotency_key}.{write.number}",
            profile=profile,
            slot=write.slot,
            units=write.units,
            patience_ms=PATIENCE_MS,
        )

    for _ in range(ATTEMPTS):
        reply = await read()
        if reply.succeeded and reply.data == write.data:
            return Bringing.STOOD_ALREADY, reply
        if reply.succeeded:
            reply = await rewrite()
            if reply.succeeded:
                return Bringing.BROUGHT, reply
        await asyncio.sleep(max(SHORTEST_PAUSE_S, reply.stay_ms / 1000.0))
    return Bringing.FAILED, reply
