"""`pebblehinge gateway`: a running gateway with all that its settings join to it."""

from __future__ import annotations

import asyncio
import atexit
import gc
import os
import signal
import time
from pathlib import Path
from typing import Any

import click

from pebblehinge import __version__
from pebblehinge.cli.base import (
    FILE,
    LOOPBACK,
    RECORDS,
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
from pebblehinge.cli.head_storage import buffer_of
from pebblehinge.event_log import EventLogError
from pebblehinge.settings import Config, SettingsError, load


@main.command(name="gateway")
@FILE
@click.option("--name", help="Which head block of the file; not needed where it has one.")
@LOOPBACK
@RECORDS
@click.option("--seed", type=click.IntRange(0), help="In place of the block's seed.")
@click.option("--capture", type=click.Path(dir_okay=False), help="Keep what is taken, without payload, in this file.")
@click.option("--agreed", type=click.Path(dir_okay=False), help="Where to keep the last agreed version, with a group.")
@click.option("--store", type=click.Path(file_okay=False), help="Folder of its journal; else the block's.")
@click.option("--pid", "pid_path", type=click.Path(dir_okay=False), help="Holds its process id, and is held by it.")
def gateway(
    file: str,
    name: str | None,
    loopback: str | None,
    records: str | None,
    seed: int | None,
    capture: str | None,
    agreed: str | None,
    store: str | None,
    pid_path: str | None,
) -> None:
    """Run a gateway. SIGTERM: nothing new, every accepted request its answer, then exit 0. SIGHUP: settings again."""
    config = read_settings(file, loopback)
    name = pick(config, "head", name)
    if seed is not None:
        config.head[name].seed = seed
    if store is not None:
        config.head[name].store = str(Path(store) / name)
    log = logger(config.log, head=name)
    if pid_path is not None:
        from pebblehinge.daemon import PidFile, PidFileError

        try:
            held = PidFile(pid_path)
        except PidFileError as error:
            give_up(f"head {name}: {error}")
        atexit.register(held.close)
    run(lambda loop: _head(loop, config, file, name, loopback, records or config.records, capture, agreed, log))


hidden_alias(gateway, "head")


async def _head(
    loop: asyncio.AbstractEventLoop,
    config: Config,
    file: str,
    name: str,
    loopback: str | None,
    folder: str | None,
    capture: str | None,
    agreed: str | None,
    log: Any,
) -> int:
    from pebblehinge.capture import CaptureWriter, open_sink
    from pebblehinge.console import Console
    from pebblehinge.daemon import Notifier
    from pebblehinge.daemon.open_files import needed_open_files, raise_open_file_limit
    from pebblehinge.gateway import GatewayServer
    from pebblehinge.gateway.metrics import serve_metrics
    from pebblehinge.store import StorageError

    failed: list[str] = []

    def records_failed(error: EventLogError) -> None:
        failed.append(str(error))
        server.stop("its records can't be written")

    def reload() -> None:
        try:
            new = load(file, loopback)
            if name not in new.head:
                raise KeyError(f"no head {name!r} in it")
        except (SettingsError, KeyError) as error:
            log.error("settings stay as they were", fault=str(error).splitlines())
            return
        if new.member:
            log.warning("the group's configuration stays in force", file=file)
            return
        notifier.reloading(int(time.monotonic() * 1e6))
        server.adopt(new)
        log.info("settings taken up", file=file)
        notifier.ready(f"{name} serves {server.block.listen}")

    notifier = Notifier(loop, os.environ, os.getpid())
    wanted = needed_open_files("head", storage_nodes=len(config.shelf), connections=config.limits.connections)
    if told := raise_open_file_limit(wanted):
        log.warning("limits", why=f"{told}, or lower `connections`")
    notes = records_for(folder, f"head-{name}", loop, records_failed)
    server = GatewayServer(loop, clock_of(loop), config, name, log, notes)
    if capture:
        try:
            sink = open_sink(capture)
        except OSError as error:
            give_up(f"head {name}: {capture}: {describe(error)}")
        server.capture(
            CaptureWriter(
                sink,
                name,
                time.time() * 1000.0,
                clock_of(loop)(),
                lambda error: log.error("the capture has ended", why=describe(error)),
            )
        )
    try:
        buffer_of(loop, config, name, server)
        await server.start()
        if server.block.metrics:
            serve_metrics(server, server.block.metrics)
    except OSError as error:
        give_up(f"head {name}: {server.block.listen}: {describe(error)}")
    except StorageError as error:
        give_up(f"head {name}: {error}")

    def stop(why: str) -> None:
        notifier.stopping(f"{server.core.open} accesses are owed an answer")
        server.stop(why)

    until_told(loop, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    watcher = None
    if config.member:
        watcher = feed_of(loop, config, name, server, agreed, log)
        watcher.start()
    console = None
    if server.block.console is not None:
        console = Console(server, server.block.console, server.block.console_token)
        try:
            await console.start()
        except OSError as error:
            give_up(f"head {name}: {server.block.console}: {describe(error)}")
    gc.freeze()  # what stands now stays: the collector need not look at it again
    ready()
    notifier.ready(f"{name} serves {server.block.listen}")
    log.info("serving", listen=server.block.listen, metrics=server.block.metrics, version=__version__)
    await server.stopped
    if watcher is not None:
        watcher.close()
    if console is not None:
        await console.stop()
    notifier.close()
    await asyncio.sleep(0.02)
    if failed:
        click.echo(f"pebblehinge: {failed[0]}", err=True)
        return 2
    log.info("stopped", answers=server.core.counts.by_word())
    return 0


def feed_of(loop: asyncio.AbstractEventLoop, config: Config, name: str, server: Any, kept: str | None, log: Any) -> Any:
    """A head's way to the group. Until the group has told it a version, the file's own settings are in force, under
    the floor that holds for a head without a lease."""
    from pebblehinge.replicated_config import VersionApplication
    from pebblehinge.replicated_config.activation import cut_off
    from pebblehinge.replicated_config.config_watcher import ConfigWatcher
    from pebblehinge.store.background import in_thread
    from pebblehinge.store.disk import RealDisk

    floor = config.group.floor
    application = VersionApplication(name, floor)
    path = Path(kept) if kept else None
    if path is not None and path.is_file():
        try:
            application = VersionApplication.restore(name, floor, path.read_bytes())
        except (OSError, ValueError) as error:
            give_up(f"head {name}: {path} can't be used ({describe(error)}); without it the head begins anew")

    def keep(data: bytes) -> None:
        if path is not None:
            RealDisk(path.parent).replace(path.name, data)

    def adopt(new: Config, mode: str) -> None:
        server.version_shown = {"version": application.active, "pending": application.pending, "mode": mode}
        server.adopt(new)

    server.adopt(cut_off(config, floor))
    return ConfigWatcher(loop, clock_of(loop), config, application, adopt, keep, log, in_thread(loop))
