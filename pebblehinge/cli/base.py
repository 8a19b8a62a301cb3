"""Helpers that all commands share: exit on errors, logging, clocks, the event loop, common options."""

from __future__ import annotations

import asyncio
import copy
import logging
import os
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any, Literal, NoReturn

import click
import structlog
import uvloop

from pebblehinge import __version__
from pebblehinge.event_log import EventLog, EventLogError, NullEventLog
from pebblehinge.settings import Config, SettingsError, load, render_settings
from pebblehinge.settings.schema import LogBlock

Logger = structlog.typing.FilteringBoundLogger

BlockKind = Literal["head", "shelf", "member", "day"]
"""The kinds of named settings blocks from which a command selects one."""


def exit_with_error(reason: str) -> NoReturn:
    """Prints the reason as one line on standard error and exits with status 2."""
    click.echo(f"pebblehinge: {reason}", err=True)
    sys.exit(2)


def read_settings(file: str, loopback: str | None = None) -> Config:
    """Returns a file's settings; prints one line per fault and exits if there are any."""
    try:
        return load(file, loopback)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(str(problem), err=True)
        count = len(error.problems)
        exit_with_error(f"{file}: {count} fault{'s' if count > 1 else ''}")


def configure_logger(block: LogBlock, **context: str | None) -> Logger:
    """Returns a structlog logger on standard error, as JSON or for a console, with context fields in each line."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer()
            if block.form == "json"
            else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty()),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, block.level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    log: Logger = structlog.get_logger().bind(**context)
    return log


def ms_clock(loop: asyncio.AbstractEventLoop) -> Callable[[], float]:
    """Returns a function that reads the monotonic clock in ms, which changes of the wall clock don't affect.

    The event loop's time has the same origin, but is constant within an iteration: too coarse for latencies.
    """
    monotonic = time.monotonic
    return lambda: monotonic() * 1000.0


def run(main: Callable[[asyncio.AbstractEventLoop], Coroutine[Any, Any, int]]) -> NoReturn:
    """Runs a process on uvloop and exits with its status; an OS or event log error is printed as one line, status 2."""
    loop = uvloop.new_event_loop()
    try:
        asyncio.set_event_loop(loop)
        code = loop.run_until_complete(main(loop))
    except (EventLogError, OSError) as error:
        exit_with_error(describe_error(error))
    except KeyboardInterrupt:
        code = 130
    sys.stdout.flush()
    sys.exit(code)


def describe_error(error: Exception) -> str:
    """Returns an error as one line, with the file name if it has one."""
    if isinstance(error, OSError):
        return f"{error.strerror or error}{f': {error.filename}' if error.filename else ''}"
    return str(error)


def open_event_log(
    folder: str | None,
    name: str,
    loop: asyncio.AbstractEventLoop,
    on_failure: Callable[[EventLogError], None] | None = None,
) -> EventLog | NullEventLog:
    """Opens the event log of a process, or returns one that discards all events if there is no folder.

    Args:
        folder: Folder of the records; None if none are kept.
        name: Name of the process and of its file.
        loop: Event loop, which writes events after the callbacks that are ready when they occur.
        on_failure: Called with the error of the first event that can't be written.

    Raises:
        EventLogError: If the file can't be opened.
    """
    return EventLog(folder, name, loop.call_soon, on_failure) if folder else NullEventLog()


def print_ready() -> None:
    """Prints the line that a supervisor or the lab waits for before it uses this process."""
    click.echo("ready")
    sys.stdout.flush()


def stop_on_signals(loop: asyncio.AbstractEventLoop, stop: Callable[[str], object]) -> None:
    """Registers `stop`, which is called with the signal's name on SIGTERM and SIGINT."""
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, stop, sig.name)


FILE = click.argument("file", type=click.Path(dir_okay=False))
LOOPBACK = click.option("--loopback", help="Host for the addresses of a fleet block, instead of the file's.")
RECORDS = click.option("--records", type=click.Path(file_okay=False), help="Folder for the event log.")
AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
SEED = click.option(
    "--seed", type=click.IntRange(0), default=0, show_default=True, help="Seed of the random generators."
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A storage gateway: schedules a host's reads and writes over storage nodes."""


def add_hidden_alias(command: click.Command, name: str) -> None:
    """Registers a command under its former name too, hidden from the help, as service units and scripts use it."""
    alias = copy.copy(command)
    alias.name = name
    alias.hidden = True
    main.add_command(alias)


@main.command()
def version() -> None:
    """Print the program's version."""
    click.echo(f"pebblehinge {__version__}")


@main.command()
@FILE
@click.option("--show", "show_it", is_flag=True, help="Print the settings in force, with defaults marked.")
def check(file: str, show_it: bool) -> None:
    """Check a settings file and report all its faults at once."""
    config = read_settings(file)
    if show_it:
        click.echo("\n".join(render_settings(config)))
    else:
        click.echo(f"{file}: sound")


def select_block(config: Config, what: BlockKind, name: str | None) -> str:
    """Returns the requested block's name, or that of the only block; exits if the settings don't have it."""
    blocks: dict[str, Any] = getattr(config, what)
    if name is None and len(blocks) == 1:
        return next(iter(blocks))
    if name is None or name not in blocks:
        available_names = ", ".join(blocks) or "none"
        exit_with_error(
            f"{what} {name!r} is not in the settings: they have {available_names}"
            if name
            else f"name one {what} of {available_names}"
        )
    return name


def progress_printer(quiet: bool) -> Callable[[str], None]:
    """Returns a function that prints progress lines on standard error, prefixed with the seconds elapsed.

    Args:
        quiet: Whether to print nothing.
    """
    start_s = time.monotonic()

    def show_line(line: str) -> None:
        if not quiet:
            click.echo(f"[{time.monotonic() - start_s:5.1f} s] {line}", err=True)

    return show_line


JOBS = click.option(
    "--jobs", type=click.IntRange(1, 256), default=None, help="Parallel processes; default: one per core."
)
QUIET = click.option("--quiet", is_flag=True, help="Print no progress.")


def worker_count(jobs: int | None) -> int:
    """Returns the number of parallel processes: as requested, or one per core."""
    return jobs or max(1, (os.cpu_count() or 2))
