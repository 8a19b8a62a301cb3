"""Gathers the outputs of decisions_at_size.py and writes the tables of docs/decisions-at-size.md from them.

python benchmarks/decisions_page.py gather FOLDER --commit SHA --date DAY    docs/decisions-at-size.json
python benchmarks/decisions_page.py fragments FOLDER                        one JSON a scene, from that file
python benchmarks/decisions_page.py write                                   the tables between the page's marks
"""

from __future__ import annotations

import json
import re
import statistics
import sys
from pathlib import Path
from typing import Any

DOCS = Path(__file__).resolve().parents[1] / "docs"
DATA, PAGE = DOCS / "decisions-at-size.json", DOCS / "decisions-at-size.md"
KINDS = {"limits": "virtual time", "sums": "virtual time", "learning": "virtual time", "pools": "computed"}
TABLE = re.compile(r"<!-- table (\w+) -->\n(.*?)<!-- end -->", re.S)
Points = list[dict[str, Any]]


def rows_of(points: Points, **wanted: Any) -> Points:
    return [p for p in points if all(p["x"].get(k) == v for k, v in wanted.items())]


def mean(points: Points, key: str) -> float:
    return statistics.fmean(p["y"][key] for p in points)


def table(head: list[str], rows: list[list[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "".join("| " + " | ".join(line) + " |\n" for line in lines)


def values(points: Points, key: str) -> list[Any]:
    """In order of their first coming."""
    return list(dict.fromkeys(p["x"][key] for p in points if key in p["x"]))


def limits(points: Points) -> str:
    """Used of the limit; lost by the split, of what is asked, at 0.5 and 0.9 of the limit; a mean over seeds."""
    rows = []
    for limit in sorted(values(points, "limit")):
        for heads in sorted(values(rows_of(points, limit=limit), "heads")):
            for name in values(rows_of(points, limit=limit, heads=heads), "slack_as"):
                cells = []
                for shape in ("even", "bursts", "zipf", "ten"):
                    of = {"limit": limit, "heads": heads, "slack_as": name, "shape": shape}
                    at = [rows_of(points, **of, demand=d) for d in (0.5, 0.9, 1.5)]
                    lost = ", ".join(f"{100 * mean(p, 'lost_by_split'):.0f}%" for p in at[:2])
                    cells.append(f"{lost}; {100 * mean(at[2], 'used_of_limit'):.0f}%")
                some = rows_of(points, limit=limit, heads=heads, slack_as=name)
                store = (some[0]["x"]["burst"] + some[0]["x"]["slack"]) / heads
                seeds = len(values(some, "seed"))
                rows.append([f"{limit:g}/s", str(heads), name, f"{store:.2f}", *cells, str(seeds)])
    head = ["limit", "heads", "slack", "store a head, units", "even", "bursts", "zipf", "ten heads", "seeds"]
    return table(head, rows)


def sums(points: Points) -> str:
    names = {"dead": "dead shelf", "cold": "cold shelf", "budget": "budget"}
    rows = []
    for point in sorted(points, key=lambda p: (list(names).index(p["x"]["case"]), p["x"]["heads"])):
        x, y = point["x"], point["y"]
        what = {k: v for k, v in x.items() if k not in ("heads", "seed", "shape", "case")}
        told = [", ".join(f"{k} {v}" for k, v in of.items()) for of in (what, y)]
        rows.append([names[x["case"]], str(x["heads"]), x["shape"], *told, str(x["seed"])])
    return table(["case", "heads", "demand", "given", "found", "seed"], rows)


def learning(points: Points) -> str:
    keys = (
        "learned",
        "learned_p50_ms",
        "learned_p99_ms",
        "asked",
        "lost_before",
        "lost_after",
        "again",
        "again_p50_ms",
        "again_p99_ms",
    )
    xs = ("fault", "pair_s", "shape", "heads", "seed")
    rows = [[*(str(p["x"][k]) for k in xs), *(str(p["y"][k]) for k in keys)] for p in points]
    return table([*xs, *(k.replace("_", " ") for k in keys)], rows)


def pools(points: Points) -> str:
    rows = []
    for point in points:
        x, y = point["x"], point["y"]
        kept = f"{x['kind']}, idle {x['idle_s']:g} s" if "idle_s" in x else x["kind"]
        cap = str(x["sockets"]) if x.get("sockets") else "none"
        keys = ("head_connections", "shelf_connections", "head_descriptors", "fleet_dials_s")
        rows.append([kept, cap, str(x["heads"]), x.get("shape", "any"), *(f"{y[key]:,}" for key in keys)])
    head = [
        "pool",
        "descriptors given",
        "heads",
        "over shelfs",
        "connections a head",
        "connections a shelf",
        "descriptors a head",
        "dials a second, fleet",
    ]
    return table(head, rows)


def tables(data: dict[str, Any]) -> dict[str, str]:
    makers = {"limits": limits, "sums": sums, "learning": learning, "pools": pools}
    return {name: make(data[name]["points"]) for name, make in makers.items() if name in data}


def filled(page: str, data: dict[str, Any]) -> str:
    """The page with its tables as the data has them; a run line stands under each."""
    made = tables(data)

    def one(found: re.Match[str]) -> str:
        name = found[1]
        run = data[name]["run"]
        told = f"\n`{run['command']}`, commit {run['commit'][:7]}, {run['date']}, {run['kind']}.\n"
        return f"<!-- table {name} -->\n{made[name]}{told}<!-- end -->"

    return TABLE.sub(one, page)


def gather(folder: str, commit: str, day: str) -> dict[str, Any]:
    data: dict[str, Any] = json.loads(DATA.read_text()) if DATA.exists() else {}
    found: dict[str, Points] = {}
    for file in sorted(Path(folder).glob("*-*.json")):
        told = json.loads(file.read_text())
        found.setdefault(told["scene"], []).extend(told["points"])
    for scene, points in found.items():
        points.sort(key=lambda p: (p["x"]["heads"], p["x"].get("seed", 0)))
        beside = (
            "nothing that counts" if KINDS[scene] == "computed" else "other work; virtual time is the same at any load"
        )
        command = f"python benchmarks/decisions_at_size.py --scene {scene} --heads N --seed S --json"
        run = {
            "id": f"decision-{scene}",
            "command": command,
            "commit": commit,
            "date": day,
            "beside": beside,
            "kind": KINDS[scene],
        }
        data[scene] = {"run": run, "points": points}
    return data


def main() -> None:
    what, *rest = sys.argv[1:] or ["write"]
    if what == "gather":
        data = gather(rest[0], rest[2], rest[4])
        lines = [json.dumps(scene) + ": " + json.dumps(of).replace('{"x"', '\n{"x"') for scene, of in data.items()]
        DATA.write_text("{" + ",\n".join(lines) + "}\n")
    elif what == "fragments":
        for scene, of in json.loads(DATA.read_text()).items():
            (Path(rest[0]) / f"decision-{scene}.json").write_text(json.dumps(of, indent=1) + "\n")
    else:
        PAGE.write_text(filled(PAGE.read_text(), json.loads(DATA.read_text())))


if __name__ == "__main__":
    main()
