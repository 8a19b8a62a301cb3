"""The commands `pebblehinge group`, a member of the group that replicates configuration, and `config` for operators.

Packages that only one command needs are imported in the function that uses them (see `pebblehinge.cli`).
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time

import click
import uvloop

from pebblehinge.cli.base import (
    AS_JSON,
    FILE,
    LOOPBACK,
    SEED,
    Logger,
    configure_logger,
    describe_error,
    exit_with_error,
    main,
    ms_clock,
    print_ready,
    read_settings,
    run,
    select_block,
    stop_on_signals,
)
from pebblehinge.settings import Config, load, render_settings


@main.command()
@FILE
@click.option("--name", help="Member block of the file.")
@click.option("--store", type=click.Path(file_okay=False), help="Folder of this instance; default: the block's.")
@click.option("--begin", is_flag=True, help="First start of this instance: accept an empty folder.")
@LOOPBACK
@SEED
def group(file: str, name: str | None, store: str | None, begin: bool, loopback: str | None, seed: int) -> None:
    """Run one instance of the group that replicates configuration."""
    config = read_settings(file, loopback)
    name = select_block(config, "member", name)
    folder = store or config.member[name].store
    if not folder:
        exit_with_error(f"member {name} has no store: set it with --store or in its block")
    log = configure_logger(config.log, member=name)
    run(lambda loop: _run_member(loop, config, name, folder, begin, seed, log))


async def _run_member(
    loop: asyncio.AbstractEventLoop, config: Config, name: str, folder: str, begin: bool, seed: int, log: Logger
) -> int:
    from pebblehinge.daemon.open_files import needed_open_files, raise_open_file_limit  # noqa: PLC0415
    from pebblehinge.raft.identity import ensure_identity  # noqa: PLC0415
    from pebblehinge.replicated_config.server import MemberServer  # noqa: PLC0415
    from pebblehinge.store import RealDisk, StorageError  # noqa: PLC0415

    if warning := raise_open_file_limit(needed_open_files("group", gateways=len(config.head))):
        log.warning("limits", why=warning)
    try:
        disk = RealDisk(folder)
        disk.acquire_lock()
        ensure_identity(disk, config.group.id, name, begin)
        server = MemberServer(loop, ms_clock(loop), config, name, disk, log, seed or os.getpid())
    except (StorageError, OSError) as error:
        exit_with_error(f"member {name}: {folder}: {describe_error(error)}")
    try:
        await server.start()
    except OSError as error:
        exit_with_error(f"member {name}: {config.member[name].listen}: {describe_error(error)}")
    stop_on_signals(loop, server.stop)
    print_ready()
    await server.stopped
    await asyncio.sleep(0.02)
    if server.failure:
        click.echo(f"pebblehinge: {server.failure}", err=True)
        return 2
    return 0


@main.group(name="config")
@click.option("--group", "file", required=True, type=click.Path(dir_okay=False), help="Settings with member blocks.")
@LOOPBACK
@click.pass_context
def config_group(context: click.Context, file: str, loopback: str | None) -> None:
    """Show and change the configuration that the group has agreed on."""
    config = read_settings(file, loopback)
    if not config.member:
        exit_with_error(f"{file} has no member blocks: there is no group to query")
    context.obj = config


def query_group(config: Config, verb: str, **values: str | int) -> str:
    """Returns the group's answer to an operator's request; exits with 1 if it is rejected, with 2 if there is none."""
    from pebblehinge.replicated_config.operator_client import ask_group  # noqa: PLC0415

    addresses = [block.listen for block in config.member.values()]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        ok, text = runner.run(ask_group(runner.get_loop(), addresses, verb, values))
    if not ok:
        click.echo(f"pebblehinge: {text}", err=True)
        sys.exit(2 if "can be reached" in text or "no leader" in text else 1)
    return text


@config_group.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--base", type=click.IntRange(0), help="Version that the proposal is based on; default: the newest.")
@click.option("--note", default="", help="Reason for the change.")
@click.pass_obj
def propose(config: Config, file: str, base: int | None, note: str) -> None:
    """Propose FILE as the next version; rejected if there is a newer version than BASE."""
    from pebblehinge.replicated_config.errors import VersionTooLargeError  # noqa: PLC0415
    from pebblehinge.replicated_config.size_limits import check_text_size  # noqa: PLC0415

    read_settings(file)
    text = resolved_text(file)
    try:
        check_text_size(text)
    except VersionTooLargeError as error:
        exit_with_error(f"{file}: {error}")
    if base is None:
        lines = query_group(config, "history").splitlines()
        base = 0 if lines[-1].startswith("no ") else int(lines[-1].split()[0])
    session = f"{os.getpid()}-{time.time_ns()}"
    author = os.environ.get("USER", "operator")
    number = query_group(config, "propose", text=text, base=base, author=author, note=note, session=session, serial=1)
    click.echo(f"version {number} is agreed on and being taken up")


def resolved_text(file: str) -> str:
    """Returns a file's settings as one text, with includes resolved."""
    return "\n".join(render_settings(load(file))) + "\n"


@config_group.command(name="show")
@click.option("--version", "number", type=click.IntRange(1), help="Version to print; default: the active one.")
@click.pass_obj
def show_version(config: Config, number: int | None) -> None:
    """Print the settings of a version."""
    click.echo(query_group(config, "show", version=number or 0))


@config_group.command()
@click.argument("a", type=click.IntRange(1))
@click.argument("b", type=click.IntRange(1))
@click.pass_obj
def diff(config: Config, a: int, b: int) -> None:
    """Show the changes from version A to version B."""
    click.echo(query_group(config, "diff", a=a, b=b))


@config_group.command()
@click.pass_obj
def history(config: Config) -> None:
    """List all versions that are kept."""
    click.echo(query_group(config, "history"))


@config_group.command()
@click.argument("number", type=click.IntRange(1))
@click.pass_obj
def rollback(config: Config, number: int) -> None:
    """Propose an older version's text as the next version."""
    session = f"{os.getpid()}-{time.time_ns()}"
    new_version = query_group(config, "rollback", version=number, author="operator", session=session, serial=1)
    click.echo(f"version {new_version} is agreed on and being taken up")


@config_group.command()
@click.argument("what", type=click.Choice(["list", "add", "remove"]), default="list")
@click.argument("name", required=False)
@click.pass_obj
def members(config: Config, what: str, name: str | None) -> None:
    """List the group's instances, add one (first as a learner; repeat to make it a voter), or remove one."""
    click.echo(query_group(config, "members", do=what, name=name or ""))


@config_group.command()
@click.argument("head")
@click.pass_obj
def forget(config: Config, head: str) -> None:
    """Confirm that HEAD will not return with its old state, so that no quota is reserved for it."""
    click.echo(query_group(config, "forget", head=head))


@config_group.command()
@AS_JSON
@click.pass_obj
def status(config: Config, as_json: bool) -> None:
    """Show the status that each instance reports."""
    from pebblehinge.replicated_config.operator_client import ask_member  # noqa: PLC0415

    async def ask_members(loop: asyncio.AbstractEventLoop) -> int:
        reachable_count = 0
        for name, block in config.member.items():
            try:
                _, text, _ = await ask_member(loop, block.listen, "status", {"json": 1} if as_json else {})
                reachable_count += 1
            except (OSError, TimeoutError) as error:
                text = f"{name}: can't be reached ({describe_error(error) or 'no answer'})"
                if as_json:
                    text = json.dumps({"instance": name, "error": describe_error(error) or "no answer"})
            click.echo(text)
        return reachable_count

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        if not runner.run(ask_members(runner.get_loop())):
            sys.exit(2)
