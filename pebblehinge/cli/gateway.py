"""The command `pebblehinge gateway`: runs a gateway with the parts that its settings enable."""

from __future__ import annotations

import atexit
from pathlib import Path

import click

from pebblehinge.cli.base import (
    FILE,
    LOOPBACK,
    RECORDS,
    add_hidden_alias,
    configure_logger,
    exit_with_error,
    main,
    read_settings,
    run,
    select_block,
)
from pebblehinge.cli.gateway_process import GatewayOptions, run_gateway


@main.command(name="gateway")
@FILE
@click.option("--name", help="Head block of the file; optional if there is only one.")
@LOOPBACK
@RECORDS
@click.option("--seed", type=click.IntRange(0), help="Seed, instead of the block's.")
@click.option(
    "--capture", type=click.Path(dir_okay=False), help="File in which to capture the requests, without payload."
)
@click.option(
    "--agreed", type=click.Path(dir_okay=False), help="File for the last agreed configuration version, with a group."
)
@click.option("--store", type=click.Path(file_okay=False), help="Folder of the journal; default: the block's.")
@click.option(
    "--pid", "pid_path", type=click.Path(dir_okay=False), help="File for the process id, locked while the process runs."
)
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
    """Run a gateway. SIGTERM: reject new requests, answer the accepted ones, exit 0. SIGHUP: reload the settings."""
    config = read_settings(file, loopback)
    name = select_block(config, "head", name)
    if seed is not None:
        config.head[name].seed = seed
    if store is not None:
        config.head[name].store = str(Path(store) / name)
    log = configure_logger(config.log, head=name)
    if pid_path is not None:
        hold_pid_file(pid_path, name)
    options = GatewayOptions(file, name, loopback, records or config.records, capture, agreed)
    run(lambda loop: run_gateway(loop, config, options, log))


def hold_pid_file(path: str, name: str) -> None:
    """Writes the process id to a file and locks it until the exit; exits if another process holds it."""
    from pebblehinge.daemon import PidFile, PidFileError  # noqa: PLC0415

    try:
        pid_file = PidFile(path)
    except PidFileError as error:
        exit_with_error(f"head {name}: {error}")
    atexit.register(pid_file.close)


add_hidden_alias(gateway, "head")
