"""The data behind docs/CAPACITY.md: its checks, least-squares fits, and the arithmetic of the page's cells.

Everything is exact (fractions) up to the last rounding, so that the page comes out the same on every machine.
Expressions are in base units: seconds, bytes, cores, counts. MB is a million bytes, KB a thousand.
"""

from __future__ import annotations

import ast
import json
import math
import operator
import re
from collections.abc import Callable
from dataclasses import dataclass
from fractions import Fraction
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
DATA = ROOT / "benchmarks" / "capacity.json"
KINDS = ("measured", "counted", "virtual time", "computed", "trial")
FORMS = {"constant": 0, "line": 1, "square": 2}  # the highest power of x
COMMIT = re.compile(r"[0-9a-f]{7,40}")
DATE = re.compile(r"20\d\d-[01]\d-[0-3]\d")
OPERATORS: dict[type, Callable[[Any, Any], Any]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
}


class DataError(Exception):
    """The data file does not hold what the page needs; the text says where and what."""


def check_run(name: str, run: dict[str, Any]) -> list[str]:
    """What is wrong with a run, a line each: it needs a command, a commit, a date, a kind, points of finite figures."""
    found = []
    if not str(run.get("command") or "").strip():
        found.append(f"run {name}: no command")
    if not COMMIT.fullmatch(str(run.get("commit") or "")):
        found.append(f"run {name}: commit {run.get('commit')!r}: expected 7 to 40 hex digits")
    if not DATE.fullmatch(str(run.get("date") or "")):
        found.append(f"run {name}: date {run.get('date')!r}: expected YYYY-MM-DD")
    if run.get("kind") not in KINDS:
        found.append(f"run {name}: kind {run.get('kind')!r}: expected one of {', '.join(KINDS)}")
    if not run.get("points"):
        found.append(f"run {name}: no points")
    for point in run.get("points") or []:
        for key, value in {**point.get("x", {}), **point.get("y", {})}.items():
            if isinstance(value, float) and not math.isfinite(value):
                found.append(f"run {name}: {key} is {value}")
        if not point.get("y"):
            found.append(f"run {name}: a point without figures")
    return found


@dataclass(slots=True)
class Fit:
    """y = c0 + c1 x + c2 x^2 by least squares over a run's points. Figures in base units."""

    name: str
    run: str
    x: str
    form: str
    unit: str  # the page's, of the fixed part and the slope
    of: str  # role
    what: str
    points: list[tuple[float, float]]
    coefficients: list[float]

    def __call__(self, x: float) -> float:
        return sum(c * x**n for n, c in enumerate(self.coefficients))

    @property
    def range(self) -> tuple[float, float]:
        return min(x for x, _ in self.points), max(x for x, _ in self.points)

    @property
    def residual(self) -> float:
        """The largest distance of a point from the fit, as a part of the largest point."""
        largest = max(abs(y) for _, y in self.points)
        return max(abs(y - self(x)) for x, y in self.points) / largest if largest else 0.0


def least_squares(points: list[tuple[float, float]], power: int) -> list[float]:
    """Coefficients from the constant on, by the normal equations in fractions."""
    exact = [(Fraction(x), Fraction(y)) for x, y in points]
    size = power + 1
    rows = [
        [sum((x ** (i + j) for x, _ in exact), Fraction(0)) for j in range(size)]
        + [sum((y * x**i for x, y in exact), Fraction(0))]
        for i in range(size)
    ]
    for i in range(size):
        pivot = next((r for r in range(i, size) if rows[r][i]), None)
        if pivot is None:
            raise DataError(f"{len(points)} points are too few, or too alike, for a power of {power}")
        rows[i], rows[pivot] = rows[pivot], rows[i]
        rows[i] = [v / rows[i][i] for v in rows[i]]
        for r in range(size):
            if r != i:
                rows[r] = [a - rows[r][i] * b for a, b in zip(rows[r], rows[i], strict=True)]
    return [float(row[-1]) for row in rows]


class Data:
    """The data file, checked as a whole."""

    def __init__(self, raw: dict[str, Any]) -> None:
        self.raw = raw
        self.runs: dict[str, dict[str, Any]] = raw["runs"]
        found = [line for name, run in self.runs.items() for line in check_run(name, run)]
        if found:
            raise DataError("\n".join(found))
        self.fits = {name: self._fit(name, row) for name, row in raw["fits"].items()}

    @classmethod
    def load(cls, path: Path = DATA) -> Data:
        return cls(json.loads(path.read_text()))

    def _fit(self, name: str, row: dict[str, Any]) -> Fit:
        names = row["run"].split(" + ")  # points of several runs, where one went further
        for gone in [run for run in names if run not in self.runs]:
            raise DataError(f"fit {name}: run {gone!r} is not there")
        where, scale, points = row.get("where", {}), row.get("scale", 1), []
        for point in [point for run in names for point in self.runs[run]["points"]]:
            if all(point["x"].get(k) == v for k, v in where.items()) and row["y"] in point["y"]:
                both = {**point["y"], **point["x"]}  # some fits go by another figure of the run
                points.append((both[row["x"]] if row["x"] else 0, point["y"][row["y"]] * scale))
        sizes = len({x for x, _ in points})
        if row["form"] != "constant" and sizes < max(4, FORMS[row["form"]] + 2):
            raise DataError(f"fit {name}: {sizes} sizes: four at least")
        coefficients = least_squares(points, FORMS[row["form"]])
        return Fit(name, row["run"], row["x"], row["form"], row["unit"], row["of"], row["what"], points, coefficients)

    def size(self, name: str) -> dict[str, float]:
        """The names that expressions may use: the size's own, and what follows from them."""
        return derived({**self.raw["common"], **self.raw["sizes"][name]})

    def grown(self, heads: float) -> dict[str, float]:
        """The coming size's shape with another number of heads: shelfs, connections and accesses grow alongside."""
        coming = self.raw["sizes"]["coming"]
        part = heads / coming["heads"]
        along = {k: coming[k] * part for k in ("heads", "shelfs", "connections", "accesses")}
        return derived({**self.raw["common"], **coming, **along})


def derived(size: dict[str, float]) -> dict[str, float]:
    heads, shelfs = size["heads"], size["shelfs"]
    return {
        **size,
        "pairs": heads * shelfs,
        "head_connections": size["connections"] / heads,
        "head_accesses": size["accesses"] / heads,
        "shelf_accesses": size["accesses"] / shelfs,
        "pair_accesses": size["accesses"] / heads / shelfs,
    }


class Reckoning:
    """One evaluation of an expression over names and fits; remembers which fits it used and how far beyond them."""

    def __init__(self, data: Data, names: dict[str, float]) -> None:
        self.data, self.names = data, names
        self.used: list[str] = []
        self.beyond = 1.0  # by how many times the furthest fit was extrapolated

    def value(self, text: str) -> float:
        return float(self._walk(ast.parse(text, mode="eval").body))

    def _walk(self, node: ast.AST) -> float:
        if isinstance(node, ast.Constant) and isinstance(node.value, int | float):
            return node.value
        if isinstance(node, ast.BinOp) and type(node.op) in OPERATORS:
            return OPERATORS[type(node.op)](self._walk(node.left), self._walk(node.right))
        if isinstance(node, ast.UnaryOp) and isinstance(node.op, ast.USub):
            return -self._walk(node.operand)
        if isinstance(node, ast.Name):
            return self._name(node.id)
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and not node.keywords:
            arguments = [self._walk(a) for a in node.args]
            if node.func.id in ("max", "min", "exp"):
                return {"max": max, "min": min, "exp": math.exp}[node.func.id](*arguments)
            return self._call(node.func.id, arguments)
        raise DataError(f"{ast.unparse(node)!r} is nothing that a cell may reckon with")

    def _name(self, name: str) -> float:
        if name in self.names:
            return self.names[name]
        for start, power in (("fixed_", 0), ("per_", 1)):
            fit = self.data.fits.get(name.removeprefix(start)) if name.startswith(start) else None
            if fit is not None:
                self._use(fit.name)
                return fit.coefficients[power]
        raise DataError(f"{name!r} is neither a size nor a fit")

    def _call(self, name: str, arguments: list[float]) -> float:
        fit = self.data.fits.get(name)
        if fit is None or len(arguments) > 1:
            raise DataError(f"{name!r} is no fit of one size")
        self._use(name)
        x = arguments[0] if arguments else 0.0
        if fit.form != "constant" and fit.range[1]:
            self.beyond = max(self.beyond, x / fit.range[1])
        return fit(x)

    def _use(self, name: str) -> None:
        if name not in self.used:
            self.used.append(name)


def take(raw: dict[str, Any], fragment: dict[str, Any]) -> str:
    """Puts a fragment's run with its points into the data; returns its id, raises DataError with what is wrong."""
    run = {k: v for k, v in fragment["run"].items() if k != "id"}
    run |= {"note": fragment.get("note") or "", "points": fragment["points"]}
    found = check_run(fragment["run"]["id"], run)
    if found:
        raise DataError("\n".join(found))
    raw["runs"][fragment["run"]["id"]] = run
    return fragment["run"]["id"]


def dumped(raw: dict[str, Any]) -> str:
    """The data file's text: a line for each point and each row."""
    lines: list[str] = []

    def line(value: Any) -> str:
        lines.append(json.dumps(value, ensure_ascii=False))
        return f"@{len(lines) - 1}@"

    held = {**raw, "runs": {n: {**r, "points": [line(p) for p in r["points"]]} for n, r in sorted(raw["runs"].items())}}
    held["fits"] = {name: line(fit) for name, fit in raw["fits"].items()}
    for table in ("size", "roles", "zones", "events", "missing"):
        held[table] = [line(row) for row in raw[table]]
    text = json.dumps(held, indent=1, ensure_ascii=False)
    return re.sub(r'"@(\d+)@"', lambda m: lines[int(m[1])], text) + "\n"
