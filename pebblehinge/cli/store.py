"""The commands `pebblehinge store`: inspect, verify, export and replay a gateway's journal.

Packages that only one command needs are imported in the function that uses them (see `pebblehinge.cli`).
"""

from __future__ import annotations

import asyncio
import json
import sys
from enum import Enum, auto
from pathlib import Path
from typing import TYPE_CHECKING

import click

from pebblehinge.cli.base import AS_JSON, exit_with_error, main, run

if TYPE_CHECKING:
    from pebblehinge.client import Client, Result
    from pebblehinge.store import RealDisk
    from pebblehinge.store.inspection import Inspection
    from pebblehinge.store.records import Write

REQUEST_DEADLINE_MS = 4000.0
"""Deadline of each request of a replay."""
MAX_ATTEMPTS = 50
"""Maximum number of attempts for each replayed write."""
MIN_RETRY_DELAY_S = 0.1
MAX_SHOWN_WRITES = 20


@main.group()
def store() -> None:
    """Inspect and recover the journal of a head that will not return."""


FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False))


def read_journal(folder: str) -> tuple[RealDisk, Inspection]:
    """Returns a folder's disk and the contents of its journal, without changing it."""
    from pebblehinge.store import RealDisk  # noqa: PLC0415
    from pebblehinge.store.inspection import inspect_journal  # noqa: PLC0415

    disk = RealDisk(folder)
    return disk, inspect_journal(disk)


@store.command(name="inspect")
@FOLDER
@AS_JSON
def store_inspect(folder: str, as_json: bool) -> None:
    """Show the contents of the journal in FOLDER, without changing it."""
    _, inspection = read_journal(folder)
    live = len(inspection.writes)
    live_bytes = sum(len(write.data) for write in inspection.writes)
    if as_json:
        fields = ("segments", "bytes", "fenced", "damage", "done", "barriers")
        report = {name: getattr(inspection, name) for name in fields} | {"live": live, "live_bytes": live_bytes}
        click.echo(json.dumps(report))
        return
    click.echo(
        f"{inspection.segments} segments, {inspection.bytes} bytes; {live} writes not yet at their shelfs "
        f"({live_bytes} bytes), {inspection.done} done, {inspection.barriers} barriers"
    )
    for write in inspection.writes[:MAX_SHOWN_WRITES]:
        click.echo(f"  {write.number}: {write.volume}/{write.extent} at {write.offset}, {len(write.data)} bytes")
    for line in inspection.damage:
        click.echo(f"damage: {line}")
    if inspection.fenced:
        click.echo("fenced: another has taken it over")


@store.command(name="verify")
@FOLDER
def store_verify(folder: str) -> None:
    """Check that every promised write in FOLDER can be read: exit 0, or 1 with the place of the damage."""
    from pebblehinge.store import StorageError  # noqa: PLC0415
    from pebblehinge.store.segment import read_segment  # noqa: PLC0415

    disk, inspection = read_journal(folder)
    names = sorted(n for n in disk.names() if n.startswith("journal-"))
    try:
        for i, name in enumerate(names):
            read_segment(name, disk.read(name), i == len(names) - 1)
    except StorageError as error:
        click.echo(str(error))
        sys.exit(1)
    click.echo(f"sound: {len(inspection.writes)} writes not yet at their shelfs")


@store.command(name="export")
@FOLDER
@click.argument("target", type=click.Path(file_okay=False))
def store_export(folder: str, target: str) -> None:
    """Write the readable live writes of FOLDER to files TARGET/VOLUME/EXTENT, at their offsets."""
    _, inspection = read_journal(folder)
    for write in inspection.writes:
        path = Path(target) / write.volume / write.extent.replace("/", "%2F")
        path.parent.mkdir(parents=True, exist_ok=True)
        with path.open("r+b" if path.exists() else "wb") as file:
            file.seek(write.offset)
            file.write(write.data)
    click.echo(f"{len(inspection.writes)} writes")
    sys.exit(1 if inspection.damage else 0)


@store.command(name="replay")
@FOLDER
@click.argument("address", metavar="HOST:PORT")
@click.option("--profile", required=True, help="Profile of the accesses.")
def store_replay(folder: str, address: str, profile: str) -> None:
    """Fence FOLDER, then replay its live writes through the head at HOST:PORT, in order, each once."""
    from pebblehinge.client import connect  # noqa: PLC0415
    from pebblehinge.store import StorageError  # noqa: PLC0415
    from pebblehinge.store.journal import fence  # noqa: PLC0415

    disk, inspection = read_journal(folder)
    try:
        disk.acquire_lock()
    except StorageError as error:
        exit_with_error(f"{error}: a running head replays its writes itself")
    if inspection.damage and any("promised" in line for line in inspection.damage):
        click.echo("\n".join(inspection.damage), err=True)
    fence(disk, f"replay through {address}")

    async def replay_all(loop: asyncio.AbstractEventLoop) -> int:
        client = await connect(address, name="replay", loop=loop)
        replayed_count = 0
        for write in inspection.writes:
            outcome, reply = await replay_write(client, write, profile)
            if outcome is ReplayOutcome.FAILED:
                click.echo(f"write {write.number} could not be replayed: {reply.final} {reply.reason}", err=True)
                return 1
            replayed_count += outcome is ReplayOutcome.BROUGHT
        client.close()
        click.echo(f"{replayed_count} writes brought, {len(inspection.writes) - replayed_count} stood already")
        return 0

    run(replay_all)


class ReplayOutcome(Enum):
    """Outcome of the replay of one write.

    Attributes:
        BROUGHT: The write was replayed.
        STOOD_ALREADY: The storage node held the data already.
        FAILED: All attempts failed.
    """

    BROUGHT = auto()
    STOOD_ALREADY = auto()
    FAILED = auto()


async def replay_write(client: Client, write: Write, profile: str) -> tuple[ReplayOutcome, Result]:
    """Replays a write of a journal through a gateway unless a read shows that the data is stored; retries both.

    Args:
        client: Client connected to the gateway.
        write: Write of the journal.
        profile: Request class of the reads and writes.

    Returns:
        The outcome and the last reply.
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
            patience_ms=REQUEST_DEADLINE_MS,
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
            patience_ms=REQUEST_DEADLINE_MS,
        )

    for _ in range(MAX_ATTEMPTS):
        reply = await read()
        if reply.succeeded and reply.data == write.data:
            return ReplayOutcome.STOOD_ALREADY, reply
        if reply.succeeded:
            reply = await rewrite()
            if reply.succeeded:
                return ReplayOutcome.BROUGHT, reply
        await asyncio.sleep(max(MIN_RETRY_DELAY_S, reply.stay_ms / 1000.0))
    return ReplayOutcome.FAILED, reply
