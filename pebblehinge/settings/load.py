"""From statements to a Config: types by msgspec, cross checks, and every fault at once."""

from __future__ import annotations

import difflib
import functools
import ipaddress
from pathlib import Path as FilePath
from types import UnionType
from typing import Any, Literal, Union, get_args, get_origin, get_type_hints

import msgspec
from msgspec import NODEFAULT, Struct
from msgspec.structs import fields as struct_fields

from pebblehinge.settings.lines import Place, Problem, Reading, Statement, Word, read_file, read_text
from pebblehinge.settings.schema import Config, HeadBlock, ModuleBlock, ShelfBlock, Trouble, VolumeBlock

TIMES = {"us": 0.001, "ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "kB": 1000, "MB": 10**6, "GB": 10**9}
WANTS = {
    "ms": "a time such as 400ms, 1.5s or 2m",
    "size": "a size such as 512B, 4KiB or 1MiB",
    "x": "a factor such as 10x",
    "%": "a share such as 25%",
    "/s": "a rate such as 300/s",
    "": "a number",
}
PORTS = {"listing": 6999, "head": 7000, "rsync": 8730, "shelf": 10_000}  # a shelf's releases: 1000 further each
# What each trouble takes: targets (shelf, head, load, list), whether `by`, `every` and `for` are needed.
TROUBLES: dict[str, tuple[str, bool, bool, bool]] = {
    "crash": ("shelf", False, False, True),
    "slow": ("shelf", True, False, True),
    "hang": ("shelf", False, False, True),
    "freeze": ("shelf", False, False, True),
    "fast-errors": ("shelf", True, False, True),
    "pauses": ("shelf", True, True, True),
    "neighbour": ("shelf", True, True, True),
    "mass-restart": ("shelf", False, False, True),
    "drain": ("shelf", False, False, True),
    "release": ("shelf", False, False, True),
    "resets": ("shelf", True, False, True),
    "half-open": ("shelf", False, False, True),
    "garble": ("shelf", True, False, True),
    "lost-answers": ("shelf", True, False, True),
    "head-crash": ("head", False, False, True),
    "head-roll": ("head", False, False, True),
    "head-stop": ("head", False, False, True),
    "head-freeze": ("head", False, False, True),
    "list-stale": ("list", True, False, True),
    "list-wrong": ("shelf", False, False, True),
    "burst": ("load", True, False, True),
    "hot-key": ("load", True, False, True),
    "scan": ("load", True, False, True),
    "give-up": ("load", True, False, True),
    "client-cuts": ("load", True, False, True),
}


class SettingsError(Exception):
    """All faults of a file, one a line."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = problems
        super().__init__("\n".join(str(p) for p in problems))


class _Bad(Exception):
    """A value that is not what was expected."""


def number(text: str, unit: str) -> float:
    """A figure with its unit; times in milliseconds, shares as parts of 1."""
    try:
        if unit == "ms":
            for suffix in ("us", "ms", "s", "m", "h"):
                if text.endswith(suffix) and _plain(text[: -len(suffix)]):
                    return float(text[: -len(suffix)]) * TIMES[suffix]
            if float(text) == 0:
                return 0.0
            raise ValueError
        if unit == "size":
            for suffix in sorted(SIZES, key=len, reverse=True):
                if text.endswith(suffix) and _plain(text[: -len(suffix)]):
                    return int(float(text[: -len(suffix)]) * SIZES[suffix])
            return int(text)
        if unit == "%" and text.endswith("%"):
            return float(text[:-1]) / 100.0
        if unit and text.endswith(unit):
            text = text[: -len(unit)]
        value = float(text)
        if not abs(value) < float("inf"):
            raise ValueError
        return value
    except (ValueError, OverflowError):
        raise _Bad(WANTS[unit]) from None


def _plain(text: str) -> bool:
    return bool(text) and all(c.isdigit() or c == "." for c in text) and text.count(".") <= 1


def _unwrap(hint: Any) -> tuple[Any, str, str, bool]:
    """A field's type without Annotated and None; its unit; what it wants; whether it may be none."""
    optional = False
    unit = wants = ""
    while True:
        if get_origin(hint) in (Union, UnionType):
            optional = True
            hint = next(a for a in get_args(hint) if a is not type(None))
        elif hasattr(hint, "__metadata__"):
            for meta in hint.__metadata__:
                if isinstance(meta, msgspec.Meta) and meta.extra:
                    unit = meta.extra.get("unit", unit)
                    wants = meta.extra.get("wants", wants)
            hint = hint.__origin__
        else:
            return hint, unit, wants, optional


def _value(hint: Any, args: list[Word]) -> Any:
    """A directive's words as its type wants them; raises _Bad with what was expected."""
    kind, unit, wants, optional = _unwrap(hint)
    if get_origin(kind) is list:
        item, _, item_wants, _ = _unwrap(get_args(kind)[0])
        texts = [a.text for a in args]
        if item is int:
            if not all(t.isdigit() for t in texts):
                raise _Bad("whole numbers")
            texts = [int(t) for t in texts]
        return _convert(texts, hint, item_wants or "names")
    if len(args) != 1:
        raise _Bad("one value" if not args else f"one value, not {len(args)}")
    text = args[0].text
    if optional and text == "none":
        return None
    if kind is bool:
        if text not in ("yes", "no"):
            raise _Bad("yes or no")
        return text == "yes"
    if get_origin(kind) is Literal:
        if text not in get_args(kind):
            raise _Bad("one of " + ", ".join(get_args(kind)))
        return text
    if get_origin(kind) is tuple:
        low, dots, high = text.partition("..")
        pair = (number(low, unit), number(high if dots else low, unit))
        if pair[0] > pair[1]:
            raise _Bad("a range from the smaller to the larger, such as 2..5")
        return pair
    if kind is float:
        return _convert(number(text, unit), hint, WANTS[unit])
    if kind is int:
        value = number(text, unit) if unit else text
        if not unit and not text.isdigit():
            raise _Bad("a whole number")
        return _convert(int(value), hint, WANTS.get(unit, "") if unit else "a whole number")
    return _convert(text, hint, wants or "a word")


def _convert(value: Any, hint: Any, wants: str) -> Any:
    try:
        return msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        detail = str(error).replace("Expected ", "").replace("`", "")
        raise _Bad(wants if "matching" in detail else f"{wants} ({detail})") from None


@functools.cache
def _shape(kind: type[Struct]) -> tuple[dict[str, Any], dict[str, Any]]:
    """A block's directives and their types. A file may have twenty thousand blocks of a kind."""
    return {f.name.replace("_", "-"): f for f in struct_fields(kind)}, get_type_hints(kind, include_extras=True)


class _Loader:
    def __init__(self, problems: list[Problem]) -> None:
        self.problems = problems
        self.places: dict[tuple[str, ...], Place] = {}

    def fault(self, place: Place, found: str, expected: str) -> None:
        self.problems.append(Problem(place, found, expected))

    def block(self, kind: type[Struct], statements: list[Statement], path: tuple[str, ...], place: Place) -> Any:
        """A struct from a block's statements; None where a fault leaves it without a needed value."""
        known, hints = _shape(kind)
        values: dict[str, Any] = {}
        for st in statements:
            name = st.name.text
            if not path and name == "volumes":
                self.many_volumes(st, values)
                continue
            f = known.get(name)
            if f is None:
                near = difflib.get_close_matches(name, known, 1)
                wants = f"{near[0]} (the nearest known one)" if near else "one of " + ", ".join(known)
                self.fault(st.name.place, f"unknown directive {name!r}", wants)
                continue
            self.directive(st, f, hints[f.name], values, (*path, name))
        missing = [n for n, f in known.items() if f.name not in values and f.required]
        tried = {st.name.text for st in statements}  # a line that is there but wrong was told already
        for name in missing:
            if name not in tried:
                self.fault(place, f"{' '.join(path) or 'the file'} has no {name!r}", f"a line {name} ...")
        return None if missing else kind(**values)

    def directive(self, st: Statement, f: Any, hint: Any, values: dict[str, Any], path: tuple[str, ...]) -> None:
        kind = _unwrap(hint)[0]
        name = st.name.text
        if get_origin(kind) is dict:
            self.named(st, get_args(kind)[1], values.setdefault(f.name, {}), path)
        elif get_origin(kind) is list and get_args(kind)[0] is Trouble:
            trouble = self.trouble(st)
            if trouble is not None:
                values.setdefault(f.name, []).append(trouble)
        elif isinstance(kind, type) and issubclass(kind, Struct):
            if st.block is None or st.args:
                self.fault(st.name.place, f"{name!r} with no block", f"{name} {{")
            elif f.name in values:
                self.fault(st.name.place, f"a second {name!r}", f"one; the first stands at {self.places[path]}")
            else:
                self.places[path] = st.name.place
                got = self.block(kind, st.block, path, st.name.place)
                if got is not None:
                    values[f.name] = got
        elif st.block is not None:
            self.fault(st.name.place, f"a block after {name!r}", "a value and no block")
        elif f.name in values:
            self.fault(st.name.place, f"a second {name!r}", f"one; the first stands at {self.places[path]}")
        else:
            self.places[path] = st.args[0].place if st.args else st.name.place
            try:
                values[f.name] = _value(hint, st.args)
            except _Bad as bad:
                found = " ".join([name, *(a.text for a in st.args)])
                self.fault(self.places[path], repr(found), str(bad))

    def named(self, st: Statement, kind: type[Struct], into: dict[str, Any], path: tuple[str, ...]) -> None:
        what = st.name.text
        if st.block is None or not st.args:
            self.fault(st.name.place, f"{what!r} with no name or no block", f"{what} NAME {{")
            return
        for word in st.args:
            if word.text in into:
                first = self.places[(*path, word.text)]
                self.fault(word.place, f"a second {what} {word.text!r}", f"another name; the first stands at {first}")
                continue
            try:
                _value(Name, [word])
            except _Bad as bad:
                self.fault(word.place, f"{what} {word.text!r}", str(bad))
                continue
            self.places[(*path, word.text)] = word.place
            got = self.block(kind, st.block, (*path, word.text), word.place)
            if got is not None:
                into[word.text] = got

    def many_volumes(self, st: Statement, values: dict[str, Any]) -> None:
        """volumes PREFIX COUNT { ... }: PREFIX-1 to PREFIX-COUNT, all alike."""
        if st.block is None or len(st.args) != 2 or not st.args[1].text.isdigit():
            self.fault(st.name.place, "'volumes'", "volumes PREFIX COUNT {")
            return
        prefix, count = st.args[0].text, int(st.args[1].text)
        if not 1 <= count <= 100_000:
            self.fault(st.args[1].place, f"{count} volumes", "1 to 100000")
            return
        got = self.block(VolumeBlock, st.block, ("volume", f"{prefix}-1"), st.name.place)
        into = values.setdefault("volume", {})
        for n in range(1, count + 1):
            name = f"{prefix}-{n}"
            if name in into:
                self.fault(st.args[0].place, f"a second volume {name!r}", "another name")
            elif got is not None:
                self.places[("volume", name)] = st.args[0].place
                self.places[("volume", name, "plan")] = self.places[("volume", f"{prefix}-1", "plan")]
                into[name] = msgspec.structs.replace(got)

    def trouble(self, st: Statement) -> Trouble | None:
        """at TIME NAME [TARGET ...] [by FIGURE] [every TIME] [for TIME]"""
        words = list(st.args)
        if st.block is not None or len(words) < 2:
            self.fault(st.name.place, "'at'", "at TIME TROUBLE [TARGET ...] [by FIGURE] [every TIME] for TIME")
            return None
        time, name = words[0], words[1]
        if name.text not in TROUBLES:
            near = difflib.get_close_matches(name.text, TROUBLES, 1)
            wants = f"{near[0]} (the nearest known one)" if near else "one of " + ", ".join(TROUBLES)
            self.fault(name.place, f"unknown trouble {name.text!r}", wants)
            return None
        strikes, needs_by, needs_every, needs_for = TROUBLES[name.text]
        clauses: dict[str, float] = {}
        target: list[str] = []
        rest = words[2:]
        try:
            where = time
            at = number(time.text, "ms")
            while rest:
                where = rest.pop(0)
                if where.text in ("by", "every", "for"):
                    if not rest:
                        raise _Bad(f"a figure after {where.text}")
                    clause, where = where.text, rest.pop(0)
                    clauses[clause] = self.figure(where.text, clause)
                else:
                    target.append(where.text)
        except _Bad as bad:
            self.fault(where.place, repr(where.text), str(bad))
            return None
        needed = [c for c, n in (("by", needs_by), ("every", needs_every), ("for", needs_for)) if n]
        for clause in needed:
            if clause not in clauses:
                self.fault(name.place, f"{name.text} without {clause!r}", f"{clause} and a figure")
                return None
        if strikes in ("shelf", "head") and not target:
            self.fault(name.place, f"{name.text} strikes nothing", f"{strikes} names, rack NAME, a share or all")
            return None
        if strikes in ("load", "list") and target:
            self.fault(name.place, f"{name.text} with {' '.join(target)!r}", "no target")
            return None
        return Trouble(
            at=at,
            name=name.text,
            target=target,
            by=clauses.get("by"),
            every=clauses.get("every"),
            last=clauses.get("for"),
        )

    @staticmethod
    def figure(text: str, clause: str) -> float:
        if clause != "by":
            return number(text, "ms")
        if text.endswith("%"):
            return number(text, "%")
        return number(text, "x") if text.endswith("x") or _plain(text) else number(text, "ms")

    # ---- checks across blocks

    def across(self, config: Config) -> None:
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


Name = get_type_hints(VolumeBlock, include_extras=True)["plan"]


def _expand(config: Config, loopback: str | None) -> None:
    """Numbers the heads and shelfs of a fleet block and gives them addresses."""
    fleet = config.fleet
    if fleet is None:
        return
    host = loopback or fleet.loopback
    config.listing.listen = f"{host}:{PORTS['listing']}"
    for n in range(1, fleet.heads + 1):
        rsync = f"{host}:{PORTS['rsync'] + n}" if fleet.rsync else None
        head = HeadBlock(listen=f"{host}:{PORTS['head'] + n}", seed=n, rsync=rsync)
        config.head.setdefault(f"h{n}", head)
    kinds = fleet.kinds or list(config.kind)
    for n in range(1, fleet.shelfs + 1):
        shelf = ShelfBlock(
            listen=f"{host}:{PORTS['shelf'] + n}",
            slot=n - 1,
            rack=fleet.racks[(n - 1) % len(fleet.racks)],
            zone=fleet.zones[(n - 1) % len(fleet.zones)],
            kind=kinds[(n - 1) % len(kinds)],
        )
        config.shelf.setdefault(f"s{n}", shelf)


def _finish(reading: Reading, loopback: str | None) -> Config:
    loader = _Loader(reading.problems)
    start = Place(reading.files[0] if reading.files else "text", 1, 1)
    config = loader.block(Config, reading.statements, (), start)
    if config is not None:
        loader.across(config)
    if loader.problems:
        raise SettingsError(sorted(loader.problems, key=lambda p: (p.place.file, p.place.line, p.place.column)))
    _expand(config, loopback)
    return config


def load(path: str | FilePath, loopback: str | None = None) -> Config:
    """A checked Config from a file; raises SettingsError with all faults. `loopback` moves a fleet's addresses."""
    return _finish(read_file(FilePath(path)), loopback)


def loads(text: str, name: str = "text", loopback: str | None = None) -> Config:
    """The same from a text."""
    return _finish(read_text(text, name), loopback)


def _say(value: Any, unit: str) -> str:
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return "..".join(_say(v, unit) for v in value)
    if isinstance(value, list):
        return " ".join(_say(v, "") for v in value)
    if unit == "ms":
        return f"{value / 1000:g}s" if value >= 1000 and value % 1000 == 0 else f"{value:g}ms"
    if unit == "%":
        return f"{value * 100:g}%"
    if unit == "size":
        return f"{value}B"
    if isinstance(value, float):
        return f"{value:g}{unit}"
    text = str(value)
    if not text or set(text) & set(' \t"{}#\\'):
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return text


def _say_trouble(t: Trouble) -> str:
    by = [] if t.by is None else ["by", f"{t.by:g}"]
    every = [] if t.every is None else ["every", _say(t.every, "ms")]
    last = [] if t.last is None else ["for", _say(t.last, "ms")]
    return " ".join(["at", _say(t.at, "ms"), t.name, *t.target, *by, *every, *last])


def show(config: Struct, indent: str = "") -> list[str]:
    """What is in force, as lines that `load` reads again; values that are defaults are marked."""
    lines: list[str] = []
    hints = get_type_hints(type(config), include_extras=True)
    for f in struct_fields(type(config)):
        value, name = getattr(config, f.name), f.name.replace("_", "-")
        kind, unit, _, _ = _unwrap(hints[f.name])
        if isinstance(value, Struct):
            lines += [f"{indent}{name} {{", *show(value, indent + "    "), indent + "}"]
        elif isinstance(value, dict):
            for key, inner in value.items():
                lines += [f"{indent}{name} {key} {{", *show(inner, indent + "    "), indent + "}"]
        elif get_origin(kind) is list and get_args(kind)[0] is Trouble:
            lines += [indent + _say_trouble(t) for t in value]
        else:
            default = f.default_factory() if f.default_factory is not NODEFAULT else f.default
            if value is None or value == []:
                lines.append(f"{indent}# {name} none (default)")
            else:
                mark = "  # default" if value == default else ""
                lines.append(f"{indent}{name} {_say(value, unit)}{mark}")
    return lines
