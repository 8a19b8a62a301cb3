"""From statements to a Config: types by msgspec, cross checks, and every fault at once."""

from __future__ import annotations

import difflib
from pathlib import Path as FilePath
from typing import Any, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Struct

from pebblehinge.settings.checks import CrossChecks
from pebblehinge.settings.lines import Place, Problem, Reading, Statement, read_file, read_text
from pebblehinge.settings.policy import VolumeBlock
from pebblehinge.settings.schema import Config, HeadBlock, ShelfBlock, Trouble
from pebblehinge.settings.troubles import trouble_of
from pebblehinge.settings.values import BadValue, parse_value, shape_of, unwrap

PORTS = {"listing": 6999, "head": 7000, "rsync": 8730, "shelf": 10_000}  # a shelf's releases: 1000 further each
Name = get_type_hints(VolumeBlock, include_extras=True)["plan"]


class SettingsError(Exception):
    """All faults of a file, one a line."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = problems
        super().__init__("\n".join(str(p) for p in problems))


class _Loader:
    def __init__(self, problems: list[Problem]) -> None:
        self.problems = problems
        self.places: dict[tuple[str, ...], Place] = {}

    def fault(self, place: Place, found: str, expected: str) -> None:
        self.problems.append(Problem(place, found, expected))

    def block(self, kind: type[Struct], statements: list[Statement], path: tuple[str, ...], place: Place) -> Any:
        """A struct from a block's statements; None where a fault leaves it without a needed value."""
        known, hints = shape_of(kind)
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
        kind = unwrap(hint)[0]
        name = st.name.text
        if get_origin(kind) is dict:
            self.named(st, get_args(kind)[1], values.setdefault(f.name, {}), path)
        elif get_origin(kind) is list and get_args(kind)[0] is Trouble:
            trouble = trouble_of(st, self.fault)
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
                values[f.name] = parse_value(hint, st.args)
            except BadValue as bad:
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
                parse_value(Name, [word])
            except BadValue as bad:
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
        CrossChecks(loader.problems, loader.places).check(config)
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
