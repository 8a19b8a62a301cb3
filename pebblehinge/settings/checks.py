"""Checks across blocks: names that stand for other blocks, and figures that have to fit each other."""

from __future__ import annotations

import ipaddress
from typing import Any

from pebblehinge.settings.lines import Place, Problem
from pebblehinge.settings.schema import Config, ModuleBlock


class CrossChecks:
    """Adds the faults of a whole file to `problems`; `places` says where each block and directive stands."""

    def __init__(self, problems: list[Problem], places: dict[tuple[str, ...], Place]) -> None:
        self.problems, self.places = problems, places

    def fault(self, place: Place, found: str, expected: str) -> None:
        self.problems.append(Problem(place, found, expected))

    def check(self, config: Config) -> None:
        def place(*path: str) -> Place:
            return self.places.get(path, Place("settings", 1, 1))

        def one_of(known: Any) -> str:
            return "one of " + ", ".join(known) if known else "a block for it"

        for name, volume in config.volume.items():
            if volume.plan not in config.plan and ("plan", volume.plan) not in self.places:
                at = place("volume", name, "plan")
                fault = Problem(at, f"plan {volume.plan!r} is not there", one_of(config.plan))
                if fault not in self.problems:  # many volumes alike are one fault
                    self.problems.append(fault)
        for name, volume in config.volume.items():
            if volume.save == "buffered":
                back = config.profile.get(volume.back or "")
                if back is None or back.repeat == "irreversible":
                    at = self.places.get(("volume", name, "back")) or place("volume", name)
                    expected = "a profile that is labelled or redoable: after a crash a write may go twice"
                    self.fault(at, f"volume {name} is buffered, back {volume.back!r}", expected)
                if volume.heads != 1:
                    found = f"volume {name} is buffered and comes through {volume.heads} heads"
                    self.fault(place("volume", name), found, "heads 1: one journal holds its newest bytes")
        for name, profile in config.profile.items():
            if profile.patience < profile.expected:
                self.fault(
                    place("profile", name),
                    f"profile {name} has less patience than expected time",
                    "patience of at least the expected time",
                )
            if profile.repeat == "labelled" and not profile.window:
                self.fault(place("profile", name), f"profile {name} is labelled with no window", "a line window TIME")
        for name, plan in config.plan.items():
            if plan.limit and plan.burst < config.rules.most_units:
                found = f"plan {name} has a limit and a burst of {plan.burst:g}"
                self.fault(
                    place("plan", name), found, f"at least the largest access, {config.rules.most_units:g} units"
                )
        for name, mix in config.mix.items():
            if name not in config.profile and ("profile", name) not in self.places:
                self.fault(place("mix", name), f"profile {name!r} is not there", one_of(config.profile))
            if mix.units[1] > config.rules.most_units:
                self.fault(
                    place("mix", name, "units"),
                    f"up to {mix.units[1]:g} units",
                    f"at most the {config.rules.most_units:g} that the rules name",
                )
            if mix.bytes + 1024 > config.limits.frame:
                self.fault(place("mix", name, "bytes"), f"{mix.bytes} bytes", "less than the limit of a frame")
        for name, shelf in config.shelf.items():
            if shelf.kind not in config.kind and ("kind", shelf.kind) not in self.places:
                self.fault(place("shelf", name), f"kind {shelf.kind!r} is not there", one_of(config.kind))
        if config.fleet is not None:
            for kind in config.fleet.kinds:
                if kind not in config.kind and ("kind", kind) not in self.places:
                    found = f"kind {kind!r} is not there"
                    self.fault(place("fleet", "kinds"), found, one_of(config.kind))
        if (config.head or config.fleet) and not any(path[0] == "profile" for path in self.places):
            self.fault(next(iter(self.places.values())), "heads with no profile", "at least one profile block")
        for name, module in config.module.items():
            self.module(config, name, module)
        if config.copies is not None and config.copies.module not in config.module:
            found = f"module {config.copies.module!r} is not there"
            self.fault(place("copies", "module"), found, one_of(config.module))
        for name, user in config.user.items():
            if bool(user.secret) == bool(user.secret_file):
                at = self.places.get(("user", name), Place("settings", 1, 1))
                self.fault(at, f"user {name}", "either secret WORD or secret-file PATH")
        if config.limits.frame < 4096:
            self.fault(place("limits", "frame"), f"a frame of {config.limits.frame} bytes", "at least 4KiB")

    def module(self, config: Config, name: str, module: ModuleBlock) -> None:
        """A module's volume, profiles, users and networks."""

        def fault(part: str, found: str, expected: str) -> None:
            at = self.places.get(("module", name, part)) or self.places.get(("module", name)) or Place("settings", 1, 1)
            self.fault(at, found, expected)

        volume = config.volume.get(module.volume)
        if volume is None:
            fault("volume", f"volume {module.volume!r} is not there", "one of " + ", ".join(config.volume))
        elif not volume.slots:
            fault("volume", f"volume {module.volume!r} has no slots", "a line slots NUMBER ... in it")
        for part, wanted in (("read", "redoable"), ("write", "redoable"), ("commit", "irreversible")):
            profile = config.profile.get(getattr(module, part))
            if profile is None:
                fault(part, f"profile {getattr(module, part)!r} is not there", "one of " + ", ".join(config.profile))
            elif profile.repeat != wanted:
                fault(part, f"profile {getattr(module, part)!r} is {profile.repeat}", f"one that is {wanted}")
        for part in ("allow", "deny"):
            for text in getattr(module, part):
                try:
                    ipaddress.ip_network(text, strict=False)
                except ValueError:
                    fault(part, repr(text), "an address or a network such as 10.0.0.0/8")
        for user in module.users:
            if user not in config.user and ("user", user) not in self.places:
                known = "one of " + ", ".join(config.user) if config.user else "a block for it"
                fault("users", f"user {user!r} is not there", known)
        if not 4096 <= module.block or module.block + 1024 > config.limits.frame:
            fault("block", f"blocks of {module.block} bytes", "at least 4KiB, and less than the limit of a frame")
        if module.ahead < module.block:
            fault("ahead", f"{module.ahead} bytes ahead", "at least a block")
