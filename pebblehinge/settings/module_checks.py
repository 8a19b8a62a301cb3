"""Checks of an rsync module: its volume, request classes, users, networks and sizes."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterator
from typing import NamedTuple

from pebblehinge.settings.builder import expect_one_of
from pebblehinge.settings.rsync import ModuleBlock
from pebblehinge.settings.schema import Config

MIN_BLOCK_BYTES = 4096
FRAME_OVERHEAD_BYTES = 1024
"""Bytes of a frame that are not available for data."""


class ModuleProblem(NamedTuple):
    """A fault of a module: its directive, what was found there, and what was expected."""

    directive: str
    found: str
    expected: str


def find_module_problems(
    config: Config, module: ModuleBlock, is_stated: Callable[[str, str], bool]
) -> Iterator[ModuleProblem]:
    """Yields the faults of a module.

    Args:
        config: The other blocks.
        module: The module's block.
        is_stated: Returns whether the file has a block of a directive and a name, even if it has faults.
    """
    yield from _check_volume(config, module)
    yield from _check_request_classes(config, module)
    yield from _check_networks(module)
    for user in module.users:
        if user not in config.user and not is_stated("user", user):
            expected = expect_one_of(config.user) if config.user else "a block for it"
            yield ModuleProblem("users", f"user {user!r} is not there", expected)
    if module.block < MIN_BLOCK_BYTES or module.block + FRAME_OVERHEAD_BYTES > config.limits.frame:
        expected = "at least 4KiB, and less than the limit of a frame"
        yield ModuleProblem("block", f"blocks of {module.block} bytes", expected)
    if module.ahead < module.block:
        yield ModuleProblem("ahead", f"{module.ahead} bytes ahead", "at least a block")


def _check_volume(config: Config, module: ModuleBlock) -> Iterator[ModuleProblem]:
    volume = config.volume.get(module.volume)
    if volume is None:
        expected = expect_one_of(config.volume)
        yield ModuleProblem("volume", f"volume {module.volume!r} is not there", expected)
    elif not volume.slots:
        expected = "a line slots NUMBER ... in it"
        yield ModuleProblem("volume", f"volume {module.volume!r} has no slots", expected)


def _check_request_classes(config: Config, module: ModuleBlock) -> Iterator[ModuleProblem]:
    """Checks that reads and writes of data may run twice, and that the commit of a file may not."""
    for directive, name, idempotency in (
        ("read", module.read, "redoable"),
        ("write", module.write, "redoable"),
        ("commit", module.commit, "irreversible"),
    ):
        profile = config.profile.get(name)
        if profile is None:
            yield ModuleProblem(directive, f"profile {name!r} is not there", expect_one_of(config.profile))
        elif profile.repeat != idempotency:
            found = f"profile {name!r} is {profile.repeat}"
            yield ModuleProblem(directive, found, f"one that is {idempotency}")


def _check_networks(module: ModuleBlock) -> Iterator[ModuleProblem]:
    for directive, networks in (("allow", module.allow), ("deny", module.deny)):
        for text in networks:
            try:
                ipaddress.ip_network(text, strict=False)
            except ValueError:
                yield ModuleProblem(directive, repr(text), "an address or a network such as 10.0.0.0/8")
