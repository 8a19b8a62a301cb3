"""The commands `pebblehinge storage-node` and `discovery`, which run stand-ins for tests and the lab.

The packages of each are imported in the functions that use them (see `pebblehinge.cli`).
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

import click

from pebblehinge.cli.base import (
    FILE,
    LOOPBACK,
    RECORDS,
    SEED,
    Logger,
    add_hidden_alias,
    configure_logger,
    describe_error,
    exit_with_error,
    main,
    ms_clock,
    open_event_log,
    print_ready,
    read_settings,
    run,
    select_block,
    stop_on_signals,
)
from pebblehinge.settings import Config

if TYPE_CHECKING:
    from pebblehinge.discovery import DiscoveryServer
    from pebblehinge.storage_node import StorageNodeServer


@main.command(name="storage-node")
@FILE
@click.option("--name", help="Shelf block of the file.")
@LOOPBACK
@RECORDS
@SEED
@click.option("--store", type=click.Path(file_okay=False), help="Folder for the contents and the journal of effects.")
@click.option("--cold", is_flag=True, help="Start as after a crash.")
@click.option(
    "--release",
    type=click.IntRange(1, 30),
    help="Replace the named shelf by its release of this number, under a new name.",
)
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
    name = select_block(config, "shelf", name)
    if release is not None:
        from pebblehinge.lab.fleet import released  # noqa: PLC0415

        name = released(config, name, release)
    log = configure_logger(config.log, shelf=name)
    run(lambda loop: _run_storage_node(loop, config, name, records, seed, store, cold, log))


add_hidden_alias(storage_node, "shelf")


async def _run_storage_node(
    loop: asyncio.AbstractEventLoop,
    config: Config,
    name: str,
    folder: str | None,
    seed: int,
    store: str | None,
    cold: bool,
    log: Logger,
) -> int:
    from pebblehinge.daemon.open_files import needed_open_files, raise_open_file_limit  # noqa: PLC0415
    from pebblehinge.storage_node import Contents, JournalError, StorageNodeServer  # noqa: PLC0415

    try:
        contents = Contents(Path(store) / f"slot-{config.shelf[name].slot}" if store else None)
    except JournalError as error:
        exit_with_error(str(error))
    if warning := raise_open_file_limit(needed_open_files("shelf", gateways=len(config.head))):
        log.warning("limits", why=warning)
    event_log = open_event_log(folder, f"shelf-{name}", loop)
    server = StorageNodeServer(loop, ms_clock(loop), config, name, log, event_log, contents, not cold, seed)
    return await _serve_until_stopped(loop, server, f"shelf {name}: {server.block.listen}")


async def _serve_until_stopped(
    loop: asyncio.AbstractEventLoop, server: DiscoveryServer | StorageNodeServer, label: str
) -> int:
    """Runs a stand-in until a signal stops it; returns the exit status.

    Args:
        loop: Event loop of the server.
        server: The stand-in, not yet started.
        label: Name and address in the message of a failed start.
    """
    try:
        await server.start()
    except OSError as error:
        exit_with_error(f"{label}: {describe_error(error)}")
    stopped = asyncio.Event()
    stop_on_signals(loop, lambda _: stopped.set())
    print_ready()
    await stopped.wait()
    server.stop()
    await asyncio.sleep(0.02)
    return 0


@main.command(name="discovery")
@FILE
@LOOPBACK
@RECORDS
@SEED
def discovery(file: str, loopback: str | None, records: str | None, seed: int) -> None:
    """Run the stand-in discovery service."""
    config = read_settings(file, loopback)
    log = configure_logger(config.log, listing=config.listing.listen)
    run(lambda loop: _run_discovery(loop, config, records, seed, log))


add_hidden_alias(discovery, "listing")


async def _run_discovery(
    loop: asyncio.AbstractEventLoop, config: Config, folder: str | None, seed: int, log: Logger
) -> int:
    from pebblehinge.daemon.open_files import needed_open_files, raise_open_file_limit  # noqa: PLC0415
    from pebblehinge.discovery import DiscoveryServer  # noqa: PLC0415

    needed_files = needed_open_files("listing", gateways=len(config.head), storage_nodes=len(config.shelf))
    if warning := raise_open_file_limit(needed_files):
        log.warning("limits", why=warning)
    event_log = open_event_log(folder, "listing", loop)
    server = DiscoveryServer(loop, ms_clock(loop), config, log, event_log, seed)
    return await _serve_until_stopped(loop, server, f"listing: {config.listing.listen}")
