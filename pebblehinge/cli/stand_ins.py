"""`pebblehinge storage-node` and `discovery`: the stand-ins."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import click

from pebblehinge.cli.base import (
    FILE,
    LOOPBACK,
    RECORDS,
    SEED,
    clock_of,
    describe,
    give_up,
    hidden_alias,
    logger,
    main,
    pick,
    read_settings,
    ready,
    records_for,
    run,
    until_told,
)
from pebblehinge.settings import Config


@main.command(name="storage-node")
@FILE
@click.option("--name", help="Which shelf block of the file.")
@LOOPBACK
@RECORDS
@SEED
@click.option("--store", type=click.Path(file_okay=False), help="Folder for contents and the journal of effects.")
@click.option("--cold", is_flag=True, help="It comes back from a crash.")
@click.option("--release", type=click.IntRange(1, 30), help="It replaces the named shelf, under a further name.")
def storage_node(
    file: str,
    name: str | None,
    loopback: str | None,
    records: str | None,
    seed: int,
    store: str | None,
    cold: bool,
    release: int | None,
) -> None:
    """Run a stand-in shelf."""
    config = read_settings(file, loopback)
    name = pick(config, "shelf", name)
    if release is not None:
        from pebblehinge.lab.fleet import released

        name = released(config, name, release)
    log = logger(config.log, shelf=name)
    run(lambda loop: _shelf(loop, config, name, records, seed, store, cold, log))


hidden_alias(storage_node, "shelf")


async def _shelf(
    loop: asyncio.AbstractEventLoop,
    config: Config,
    name: str,
    folder: str | None,
    seed: int,
    store: str | None,
    cold: bool,
    log: Any,
) -> int:
    from pebblehinge.daemon.open_files import needed_open_files, raise_open_file_limit
    from pebblehinge.shelf import Contents, ShelfServer
    from pebblehinge.shelf.contents import JournalError

    try:
        contents = Contents(Path(store) / f"slot-{config.shelf[name].slot}" if store else None)
    except JournalError as error:
        give_up(str(error))
    if told := raise_open_file_limit(needed_open_files("shelf", gateways=len(config.head))):
        log.warning("limits", why=told)
    notes = records_for(folder, f"shelf-{name}", loop)
    server = ShelfServer(loop, clock_of(loop), config, name, log, notes, contents, not cold, seed)
    return await _until_stopped(loop, server, f"shelf {name}: {server.block.listen}")


async def _until_stopped(loop: asyncio.AbstractEventLoop, server: Any, what: str) -> int:
    """A stand-in's life: starts, says that it is ready, stops when it is told."""
    try:
        await server.start()
    except OSError as error:
        give_up(f"{what}: {describe(error)}")
    stopped = loop.create_future()
    until_told(loop, lambda why: stopped.done() or stopped.set_result(why))
    ready()
    await stopped
    server.stop()
    await asyncio.sleep(0.02)
    return 0


@main.command(name="discovery")
@FILE
@LOOPBACK
@RECORDS
@SEED
def discovery(file: str, loopback: str | None, records: str | None, seed: int) -> None:
    """Run the stand-in node list."""
    config = read_settings(file, loopback)
    log = logger(config.log, listing=config.listing.listen)
    run(lambda loop: _listing(loop, config, records, seed, log))


hidden_alias(discovery, "listing")


async def _listing(loop: asyncio.AbstractEventLoop, config: Config, folder: str | None, seed: int, log: Any) -> int:
    from pebblehinge.daemon.open_files import needed_open_files, raise_open_file_limit
    from pebblehinge.discovery import DiscoveryServer

    if told := raise_open_file_limit(
        needed_open_files("listing", gateways=len(config.head), storage_nodes=len(config.shelf))
    ):
        log.warning("limits", why=told)
    server = DiscoveryServer(loop, clock_of(loop), config, log, records_for(folder, "listing", loop), seed)
    return await _until_stopped(loop, server, f"listing: {config.listing.listen}")
