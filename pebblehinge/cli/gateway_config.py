"""Connects a gateway to the group that replicates configuration.

Packages that only a gateway needs are imported in the functions that use them (see `pebblehinge.cli`).
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from pebblehinge.cli.base import describe_error, exit_with_error, ms_clock
from pebblehinge.settings import Config

if TYPE_CHECKING:
    from pebblehinge.gateway import GatewayServer
    from pebblehinge.replicated_config.config_publisher import Logger
    from pebblehinge.replicated_config.config_watcher import ConfigWatcher


def watch_config(
    loop: asyncio.AbstractEventLoop,
    config: Config,
    name: str,
    server: GatewayServer,
    version_file: str | None,
    log: Logger,
) -> ConfigWatcher:
    """Connects a gateway to the group that replicates its configuration.

    Until the group has sent a version, the settings of the file apply, with every limit reduced to the floor,
    the share of a gateway without a lease.

    Args:
        loop: Event loop of the watcher.
        config: The settings of the file, with the group's members.
        name: Name of the gateway's block.
        server: Gateway that applies each version.
        version_file: Path of the last agreed version, read now and replaced by each later one; None to keep none.
        log: Receives messages about versions and faults.

    Returns:
        The watcher, not yet started.
    """
    from pebblehinge.replicated_config import VersionApplication  # noqa: PLC0415
    from pebblehinge.replicated_config.activation import config_without_lease  # noqa: PLC0415
    from pebblehinge.replicated_config.config_watcher import ConfigWatcher  # noqa: PLC0415
    from pebblehinge.store.background import thread_runner  # noqa: PLC0415
    from pebblehinge.store.disk import RealDisk  # noqa: PLC0415

    floor = config.group.floor
    application = VersionApplication(name, floor)
    path = Path(version_file) if version_file else None
    if path is not None and path.is_file():
        try:
            application = VersionApplication.restore(name, floor, path.read_bytes())
        except (OSError, ValueError) as error:
            exit_with_error(
                f"head {name}: {path} can't be used ({describe_error(error)}); "
                "without it the head starts with no agreed version"
            )

    def save_version(data: bytes) -> None:
        if path is not None:
            RealDisk(path.parent).replace(path.name, data)

    def apply_version(new_config: Config, mode: str) -> None:
        server.config_status = {"version": application.active, "pending": application.pending, "mode": mode}
        server.apply_config(new_config)

    server.apply_config(config_without_lease(config, floor))
    return ConfigWatcher(
        loop, ms_clock(loop), config, application, apply_version, save_version, log, thread_runner(loop)
    )
