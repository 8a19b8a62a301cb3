"""Checks across blocks: references to other blocks, and values that depend on each other."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from pebblehinge.settings.builder import BlockPath, expect_one_of
from pebblehinge.settings.lines import Position, Problem
from pebblehinge.settings.module_checks import FRAME_OVERHEAD_BYTES, find_module_problems
from pebblehinge.settings.policy import ProfileBlock, VolumeBlock
from pebblehinge.settings.schema import Config
from pebblehinge.settings.stand_ins import MixBlock

MIN_FRAME_BYTES = 4096
SETTINGS_START = Position("settings", 1, 1)
"""The position of a problem whose own position is unknown."""


class CrossChecks:
    """Checks all blocks of the settings against each other.

    Args:
        config: The blocks.
        problems: The list to which all faults are added.
        positions: The position of each block and each directive.
    """

    def __init__(self, config: Config, problems: list[Problem], positions: dict[BlockPath, Position]) -> None:
        self.config = config
        self.problems = problems
        self.positions = positions

    def check(self) -> None:
        """Runs all checks."""
        for name, volume in self.config.volume.items():
            self._check_quota_plan(name, volume)
        for name, volume in self.config.volume.items():
            self._check_buffering(name, volume)
        for name, profile in self.config.profile.items():
            self._check_request_class(name, profile)
        self._check_quota_bursts()
        for name, mix in self.config.mix.items():
            self._check_mix(name, mix)
        self._check_storage_nodes()
        if (self.config.head or self.config.fleet) and not any(path[0] == "profile" for path in self.positions):
            file_start = next(iter(self.positions.values()))
            self._report(file_start, "heads with no profile", "at least one profile block")
        for name, module in self.config.module.items():
            for problem in find_module_problems(self.config, module, self._is_stated):
                position = self.positions.get(("module", name, problem.directive)) or self._position("module", name)
                self._report(position, problem.found, problem.expected)
        self._check_copies()
        self._check_users()
        if self.config.limits.frame < MIN_FRAME_BYTES:
            found = f"a frame of {self.config.limits.frame} bytes"
            self._report(self._position("limits", "frame"), found, "at least 4KiB")

    def _report(self, position: Position, found: str, expected: str) -> None:
        self.problems.append(Problem(position, found, expected))

    def _position(self, *path: str) -> Position:
        return self.positions.get(path, SETTINGS_START)

    def _is_stated(self, *path: str) -> bool:
        """Returns whether a block is in the file, even if it has faults."""
        return path in self.positions

    def _check_reference(self, directive: str, name: str, known: dict[str, Any], *path: str) -> None:
        """Checks that the block exists to which the directive at `path` refers by directive and name."""
        if name not in known and not self._is_stated(directive, name):
            self._report(self._position(*path), f"{directive} {name!r} is not there", expect_block(known))

    def _check_quota_plan(self, name: str, volume: VolumeBlock) -> None:
        plans = self.config.plan
        if volume.plan in plans or self._is_stated("plan", volume.plan):
            return
        position = self._position("volume", name, "plan")
        problem = Problem(position, f"plan {volume.plan!r} is not there", expect_block(plans))
        if problem not in self.problems:  # one fault for all volumes of a `volumes` block
            self.problems.append(problem)

    def _check_buffering(self, name: str, volume: VolumeBlock) -> None:
        """Checks that a buffered volume is written back by requests that may be sent twice, and by one gateway."""
        if volume.save != "buffered":
            return
        block = self._position("volume", name)
        request_class = self.config.profile.get(volume.back or "")
        if request_class is None or request_class.repeat == "irreversible":
            position = self.positions.get(("volume", name, "back")) or block
            expected = "a profile that is labelled or redoable: after a crash a write may be sent twice"
            self._report(position, f"volume {name} is buffered, back {volume.back!r}", expected)
        if volume.heads != 1:
            found = f"volume {name} is buffered and comes through {volume.heads} heads"
            self._report(block, found, "heads 1: its newest data is in one journal")

    def _check_request_class(self, name: str, profile: ProfileBlock) -> None:
        position = self._position("profile", name)
        if profile.patience < profile.expected:
            found = f"profile {name} has less patience than expected time"
            self._report(position, found, "patience of at least the expected time")
        if profile.repeat == "labelled" and not profile.window:
            self._report(position, f"profile {name} is labelled with no window", "a line window TIME")

    def _check_quota_bursts(self) -> None:
        largest = self.config.rules.most_units
        for name, plan in self.config.plan.items():
            if plan.limit and plan.burst < largest:
                found = f"plan {name} has a limit and a burst of {plan.burst:g}"
                self._report(self._position("plan", name), found, f"at least the largest access, {largest:g} units")

    def _check_mix(self, name: str, mix: MixBlock) -> None:
        self._check_reference("profile", name, self.config.profile, "mix", name)
        largest = self.config.rules.most_units
        if mix.units[1] > largest:
            position = self._position("mix", name, "units")
            self._report(position, f"up to {mix.units[1]:g} units", f"at most {largest:g}, the most-units of the rules")
        if mix.bytes + FRAME_OVERHEAD_BYTES > self.config.limits.frame:
            position = self._position("mix", name, "bytes")
            self._report(position, f"{mix.bytes} bytes", "less than the limit of a frame")

    def _check_storage_nodes(self) -> None:
        """Checks the kinds that storage nodes and the fleet block refer to."""
        for name, node in self.config.shelf.items():
            self._check_reference("kind", node.kind, self.config.kind, "shelf", name)
        if self.config.fleet is not None:
            for kind in self.config.fleet.kinds:
                self._check_reference("kind", kind, self.config.kind, "fleet", "kinds")

    def _check_copies(self) -> None:
        copies, modules = self.config.copies, self.config.module
        if copies is not None and copies.module not in modules:
            found = f"module {copies.module!r} is not there"
            self._report(self._position("copies", "module"), found, expect_block(modules))

    def _check_users(self) -> None:
        for name, user in self.config.user.items():
            if bool(user.secret) == bool(user.secret_file):
                expected = "either secret WORD or secret-file PATH"
                self._report(self._position("user", name), f"user {name}", expected)


def expect_block(names: Collection[str]) -> str:
    """Returns the expectation of a problem where a reference to one of several blocks is allowed."""
    return expect_one_of(names) if names else "a block for it"
