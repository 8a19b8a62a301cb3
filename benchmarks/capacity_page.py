"""Writes the tables of docs/CAPACITY.md and its plot from benchmarks/capacity.json, and takes fragments of runs in.

    python benchmarks/capacity_page.py                      # write the page's tables and the plot
    python benchmarks/capacity_page.py --take FILE ...      # take runs in (or anew, by their id), then write

A table stands between `<!-- table NAME -->` and `<!-- end -->`; nothing else of the page is touched.
"""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent))

from capacity_fits import DATA, ROOT, Data, DataError, Reckoning, dumped, take  # noqa: E402
from capacity_missing import missing  # noqa: E402
from capacity_plot import plot  # noqa: E402
from capacity_scale import scale  # noqa: E402
from capacity_text import figure, number, quantity, rows  # noqa: E402

PAGE = ROOT / "docs" / "CAPACITY.md"
PLOT = ROOT / "docs" / "capacity-slopes.svg"
MARKED = re.compile(r"(<!-- table ([a-z-]+) -->\n).*?(<!-- end -->)", re.DOTALL)
NOT_MEASURED = "*not measured*"
FAR = 1.05  # a fit that is used further beyond its range than this is called extrapolated


def cell(data: Data, names: dict[str, float], stated: Any, unit: str, used: list[str]) -> tuple[str, float | None]:
    """A cell's text and value: an expression, or words that stand as they are, or nothing: not measured."""
    if stated is None:
        return NOT_MEASURED, None
    if isinstance(stated, dict):
        return stated["words"], None
    reckoning = Reckoning(data, names)
    value = reckoning.value(str(stated))
    used += [u for u in reckoning.used if u not in used]
    far = f" (x{number(reckoning.beyond)} beyond)" if reckoning.beyond > FAR else ""
    runs_used = [run for used_fit in reckoning.used for run in data.fits[used_fit].run.split(" + ")]
    trial = any(data.runs[run]["kind"] == "trial" for run in runs_used)
    return quantity(value, unit) + far + (" (trial)" if trial else ""), value


def verdict(value: float | None, budget: float | None, words: str) -> str:
    if words:
        return words
    if value is None:
        return NOT_MEASURED
    if budget is None:
        return "no budget stated"
    if value <= budget:
        return f"*holds* ({number(value / budget * 100)}% of it)"
    return f"*does not*: {number(value / budget)} times"


def summary(data: Data) -> str:
    """What the rows of all roles come to."""
    lines = judged(data)
    wrong = [[line[0], line[1], line[3], line[4], line[6]] for line in lines if line[6].startswith("*does not*")]
    counts = {
        said: sum(line[6].startswith(said) for line in lines) for said in ("*holds*", "*not built*", NOT_MEASURED)
    }
    told = "; ".join(f"{said} {n}" for said, n in counts.items())
    table = rows(["role", "what does not hold", "coming size", "budget", "verdict"], wrong)
    return f"{table}\nOf {len(lines)} rows: *does not* {len(wrong)}; {told}; the others have no budget stated.\n"


def judged(data: Data) -> list[list[str]]:
    body = []
    for row in data.raw["roles"]:
        used: list[str] = []
        unit = row.get("unit", "")
        today, _ = cell(data, data.size("today"), row.get("expr"), unit, used)
        coming, value = cell(data, data.size("coming"), row.get("expr"), unit, used)
        budget = Reckoning(data, data.size("coming")).value(str(row["budget"])) if "budget" in row else None
        body.append(
            [
                row["role"],
                row["what"],
                today,
                coming,
                quantity(budget, unit) if budget is not None else "-",
                row.get("mechanism", "-"),
                verdict(value, budget, row.get("verdict", "")),
                ", ".join(used) or "-",
            ]
        )
    return body


def roles(data: Data) -> str:
    head = ["role", "what", "today", "coming size", "budget", "what carries it", "verdict", "from"]
    return rows(head, judged(data))


def size(data: Data) -> str:
    """The operators' figures; `{expression|unit}` in a cell is reckoned."""
    names = data.size("coming")

    def filled(text: str) -> str:
        return re.sub(
            r"\{([^|}]+)\|([^}]*)\}",
            lambda m: quantity(Reckoning(data, names).value(m[1]), m[2]).replace(".0 ", " "),
            text,
        )

    return rows(["what", "at that size", "comes to"], [[filled(c) for c in row] for row in data.raw["size"]])


def zones(data: Data) -> str:
    body = []
    for row in data.raw["zones"]:
        cells = [cell(data, data.size(s), row["expr"], row.get("unit", ""), [])[0] for s in ("coming", "coming_eight")]
        body.append([row["what"], *cells])
    return rows(["", "4 zones in all", "4 zones in each region"], body)


def events(data: Data) -> str:
    body, columns = [], (("messages", ""), ("bytes", "MB"), ("busiest", "cores"), ("time", "s"))
    for row in data.raw["events"]:
        used: list[str] = []
        cells = [cell(data, data.size("coming"), row.get(key), unit, used)[0] for key, unit in columns]
        cells = [
            c if key not in row or isinstance(row[key], dict) else f"{c}, computed"
            for (key, _), c in zip(columns, cells, strict=True)
        ]
        body.append([row["event"], *cells, row.get("note", "-"), ", ".join(used) or "-"])
    return rows(["event", "messages", "bytes", "busiest second", "until all is well", "what happens", "from"], body)


def slopes(data: Data) -> str:
    body = []
    for fit in data.fits.values():
        one = fit.x.removesuffix("s")
        (low, high), shown = fit.range, [quantity(c, fit.unit) for c in fit.coefficients]
        per = {"constant": "-", "line": f"{shown[-1]} a {one}"}.get(fit.form, "")
        if fit.form == "square":
            per = f"{shown[1]} a {one} **and {shown[2]} a {one} squared**"
        sizes = len({x for x, _ in fit.points})
        span = f"{number(low)} to {number(high)}, {sizes} sizes" if fit.x else f"{len(fit.points)} points"
        body.append([fit.name, fit.of, fit.what, shown[0], per, f"{number(fit.residual * 100)}%", span, fit.run])
    return rows(["fit", "role", "of what", "fixed part", "slope", "residual", "range", "run"], body)


def run_table(run: dict[str, Any]) -> str:
    points = run["points"]
    xs = list(dict.fromkeys(k for p in points for k in p["x"]))
    ys = [k for k in dict.fromkeys(k for p in points for k in p["y"]) if k != "line"]  # lines of code move
    body = [[*(figure(p["x"].get(k, "-")) for k in xs), *(figure(p["y"].get(k, "-")) for k in ys)] for p in points]
    return rows([*xs, *ys], body)


def section(data: Data, *starts: str) -> str:
    parts = []
    for name, run in sorted(data.runs.items()):
        if name.startswith(starts):
            note = f" {run['note'].strip()}" if run.get("note") else ""
            said = f"**{name}** ({run['kind']}; beside: {run.get('beside') or 'not told'}).{note}"
            parts.append(f"{said}\n\n{run_table(run)}")
    return "\n".join(parts) if parts else f"{NOT_MEASURED}\n"


def runs(data: Data) -> str:
    body = [
        [name, f"`{run['command']}`", run["commit"][:10], run["date"], run["kind"], run.get("beside") or "not told"]
        for name, run in sorted(data.runs.items())
    ]
    return rows(["run", "command", "commit", "date", "kind", "beside"], body)


TABLES: dict[str, Callable[[Data], str]] = {
    "summary": summary,
    "size": size,
    "roles": roles,
    "zones": zones,
    "slopes": slopes,
    "events": events,
    "missing": missing,
    "runs": runs,
    "decision": lambda d: section(d, "decision"),
    "caps": lambda d: section(d, "caps", "idle"),
    "scale": scale,
    "spread": lambda d: section(d, "spread", "version-spread"),
    "virtual": lambda d: section(d, "virtual", "wide"),
}


def written(data: Data, page: str) -> str:
    """The page with its tables from the data; each table has to stand there once."""
    names = [m[2] for m in MARKED.finditer(page)]
    if sorted(names) != sorted(TABLES):
        raise DataError(f"the page has the tables {sorted(names)}: expected {sorted(TABLES)}, each once")
    return MARKED.sub(lambda m: f"{m[1]}\n{TABLES[m[2]](data)}\n{m[3]}", page)


def main(arguments: list[str]) -> int:
    if arguments and arguments[0] not in ("--take",):
        print(__doc__)
        return 2
    raw = json.loads(DATA.read_text())
    for file in arguments[1:]:
        held = json.loads(Path(file).read_text())
        for fragment in held if isinstance(held, list) else [held]:
            print("taken in:", take(raw, fragment))
    data = Data(raw)
    page, picture = written(data, PAGE.read_text()), plot(data)
    DATA.write_text(dumped(raw))
    PAGE.write_text(page)
    PLOT.write_text(picture)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
