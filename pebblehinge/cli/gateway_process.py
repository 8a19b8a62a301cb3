"""The process of `pebblehinge gateway`: starts the parts of a gateway in order, serves, and stops them.

Packages that only this process needs are imported in the functions that use them (see `pebblehinge.cli`).
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import click

from pebblehinge import __version__
from pebblehinge.cli.base import (
    Logger,
    describe_error,
    exit_with_error,
    ms_clock,
    open_event_log,
    print_ready,
    stop_on_signals,
)
from pebblehinge.cli.gateway_config import watch_config
from pebblehinge.cli.gateway_storage import open_storage
from pebblehinge.event_log import EventLogError
from pebblehinge.settings import Config, SettingsError, load

if TYPE_CHECKING:
    from pebblehinge.console import Console
    from pebblehinge.gateway import GatewayServer

RECORDS_FAILURE_REASON = "its records can't be written"
FLUSH_DELAY_S = 0.02
"""How long the event loop runs after the gateway has stopped, so that the last bytes leave the sockets."""


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """A gateway's options on the command line.

    Attributes:
        file: Path of the settings file.
        name: Name of the gateway's block in it.
        loopback: Host for the addresses of a fleet block; None for the file's.
        records: Folder of the records; None if none are kept.
        capture: Path of the capture; None if none is written.
        version_file: Path of the last agreed configuration version; None if it is not kept.
    """

    file: str
    name: str
    loopback: str | None
    records: str | None
    capture: str | None
    version_file: str | None


class GatewayProcess:
    """A gateway's server, with its signals, records, capture and reports to the service manager.

    Attributes:
        server: The gateway.
        loop: Event loop of the process.
        config: Settings at the start.
        options: Options of the command line.
        log: Logger of the process.
        notifier: Sends state changes to the service manager.
        record_fault: The first write error of the records, which stops the gateway; None if there is none.

    Raises:
        EventLogError: If the records can't be opened.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, options: GatewayOptions, log: Logger) -> None:
        from pebblehinge.daemon import Notifier  # noqa: PLC0415
        from pebblehinge.gateway import GatewayServer  # noqa: PLC0415

        self.loop = loop
        self.config = config
        self.options = options
        self.log = log
        self.record_fault: str | None = None
        self.notifier = Notifier(loop, os.environ, os.getpid())
        self._raise_open_file_limit()
        records = open_event_log(options.records, f"head-{options.name}", loop, self._stop_without_records)
        self.server: GatewayServer = GatewayServer(loop, ms_clock(loop), config, options.name, log, records)

    def _raise_open_file_limit(self) -> None:
        from pebblehinge.daemon.open_files import needed_open_files, raise_open_file_limit  # noqa: PLC0415

        connections = self.config.limits.connections
        needed_files = needed_open_files("head", storage_nodes=len(self.config.shelf), connections=connections)
        if warning := raise_open_file_limit(needed_files):
            self.log.warning("limits", why=f"{warning}, or lower `connections`")

    def _stop_without_records(self, error: EventLogError) -> None:
        if self.record_fault is None:
            self.record_fault = str(error)
        self.server.stop(RECORDS_FAILURE_REASON)

    def start_capture(self) -> None:
        """Starts the capture of requests, if the options name a file for it."""
        from pebblehinge.capture import CaptureWriter, open_sink  # noqa: PLC0415

        path = self.options.capture
        if not path:
            return
        try:
            sink = open_sink(path)
        except OSError as error:
            exit_with_error(f"head {self.options.name}: {path}: {describe_error(error)}")
        wall_ms = time.time() * 1000.0
        self.server.start_capture(
            CaptureWriter(sink, self.options.name, wall_ms, ms_clock(self.loop)(), self._report_capture_end)
        )

    def _report_capture_end(self, error: Exception) -> None:
        self.log.error("capture stopped after a write error", why=describe_error(error))

    async def start_server(self) -> None:
        """Opens the storage and the sockets; exits if either can't be used."""
        from pebblehinge.gateway.metrics import serve_metrics  # noqa: PLC0415
        from pebblehinge.store import StorageError  # noqa: PLC0415

        try:
            open_storage(self.loop, self.config, self.options.name, self.server)
            await self.server.start()
            if self.server.gateway_settings.metrics:
                serve_metrics(self.server, self.server.gateway_settings.metrics)
        except OSError as error:
            exit_with_error(f"head {self.options.name}: {self.server.gateway_settings.listen}: {describe_error(error)}")
        except StorageError as error:
            exit_with_error(f"head {self.options.name}: {error}")

    def handle_signals(self) -> None:
        """Registers the signal handlers: SIGTERM and SIGINT stop the gateway, SIGHUP reloads the settings."""
        stop_on_signals(self.loop, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)

    def stop(self, why: str) -> None:
        """Starts the graceful shutdown: new requests are rejected, all accepted ones are answered."""
        self.notifier.notify_stopping(f"{self.server.core.open_count} accesses are owed an answer")
        self.server.stop(why)

    def reload(self) -> None:
        """Reloads the settings; those in force stay if the file is invalid or a group replicates the configuration."""
        options = self.options
        try:
            config = load(options.file, options.loopback)
            if options.name not in config.head:
                raise KeyError(f"no head {options.name!r} in it")
        except (SettingsError, KeyError) as error:
            self.log.error("settings stay as they were", fault=str(error).splitlines())
            return
        if config.member:
            self.log.warning("settings file ignored: the group's configuration stays in force", file=options.file)
            return
        self.notifier.notify_reloading(int(time.monotonic() * 1e6))
        self.server.apply_config(config)
        self.log.info("settings taken up", file=options.file)
        self._notify_ready()

    def _notify_ready(self) -> None:
        self.notifier.notify_ready(f"{self.options.name} serves {self.server.gateway_settings.listen}")

    async def start_console(self) -> Console | None:
        """Starts and returns the console, if the gateway's block has one; exits if its address can't be used."""
        from pebblehinge.console import Console  # noqa: PLC0415

        block = self.server.gateway_settings
        if block.console is None:
            return None
        console = Console(self.server, block.console, block.console_token)
        try:
            await console.start()
        except OSError as error:
            exit_with_error(f"head {self.options.name}: {block.console}: {describe_error(error)}")
        return console

    def announce(self) -> None:
        """Reports on standard output, to the service manager and in the log that the gateway serves."""
        block = self.server.gateway_settings
        print_ready()
        self._notify_ready()
        self.log.info("serving", listen=block.listen, metrics=block.metrics, version=__version__)

    def finish(self) -> int:
        """Reports why the gateway stopped; returns the exit status."""
        if self.record_fault is not None:
            click.echo(f"pebblehinge: {self.record_fault}", err=True)
            return 2
        self.log.info("stopped", answers=self.server.core.counts.by_label())
        return 0


async def run_gateway(loop: asyncio.AbstractEventLoop, config: Config, options: GatewayOptions, log: Logger) -> int:
    """Runs a gateway until it has stopped; returns the exit status."""
    process = GatewayProcess(loop, config, options, log)
    process.start_capture()
    await process.start_server()
    process.handle_signals()
    watcher = None
    if config.member:
        watcher = watch_config(loop, config, options.name, process.server, options.version_file, log)
        watcher.start()
    console = await process.start_console()
    gc.freeze()  # Objects made so far live as long as the process: the collector skips them.
    process.announce()
    await process.server.stopped
    if watcher is not None:
        watcher.close()
    if console is not None:
        await console.stop()
    process.notifier.close()
    await asyncio.sleep(FLUSH_DELAY_S)
    return process.finish()
