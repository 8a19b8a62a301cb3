"""Gathers the outputs of decisions_at_size.py and writes the tables of docs/decisions-at-size.md from them.

python benchmarks/decisions_page.py gather FOLDER --commit SHA --date DAY    docs/decisions-at-size.json
python benchmarks/decisions_page.py fragments FOLDER                        one JSON file per scene, from that file
python benchmarks/decisions_page.py write                                   the tables between the page's markers
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
RUN_KINDS = {"limits": "virtual time", "sums": "virtual time", "learning": "virtual time", "pools": "computed"}
TABLE_PATTERN = re.compile(r"<!-- table (\w+) -->\n(.*?)<!-- end -->", re.S)
Points = list[dict[str, Any]]


def select_points(points: Points, **wanted: Any) -> Points:
    """Returns the points whose parameters have these values."""
    return [p for p in points if all(p["x"].get(k) == v for k, v in wanted.items())]


def mean(points: Points, key: str) -> float:
    return statistics.fmean(p["y"][key] for p in points)


def markdown_table(header: list[str], rows: list[list[str]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "".join("| " + " | ".join(cells) + " |\n" for cells in lines)


def distinct_values(points: Points, key: str) -> list[Any]:
    """Returns the values of a parameter, in order of first occurrence."""
    return list(dict.fromkeys(p["x"][key] for p in points if key in p["x"]))


def limits_table(points: Points) -> str:
    """Returns the table of the scene `limits`, as means over the seeds.

    A cell has the share of requests lost by the split, at a demand of 0.5 and 0.9 of the limit, and the used share of
    the limit at 1.5.
    """
    rows = []
    for limit in sorted(distinct_values(points, "limit")):
        for gateway_count in sorted(distinct_values(select_points(points, limit=limit), "heads")):
            for slack_name in distinct_values(select_points(points, limit=limit, heads=gateway_count), "slack_as"):
                cells = []
                for shape in ("even", "bursts", "zipf", "ten"):
                    case_filter = {"limit": limit, "heads": gateway_count, "slack_as": slack_name, "shape": shape}
                    by_demand = [select_points(points, **case_filter, demand=d) for d in (0.5, 0.9, 1.5)]
                    lost = ", ".join(f"{100 * mean(p, 'lost_by_split'):.0f}%" for p in by_demand[:2])
                    cells.append(f"{lost}; {100 * mean(by_demand[2], 'used_of_limit'):.0f}%")
                matching = select_points(points, limit=limit, heads=gateway_count, slack_as=slack_name)
                units_per_gateway = (matching[0]["x"]["burst"] + matching[0]["x"]["slack"]) / gateway_count
                seeds = len(distinct_values(matching, "seed"))
                rows.append(
                    [f"{limit:g}/s", str(gateway_count), slack_name, f"{units_per_gateway:.2f}", *cells, str(seeds)]
                )
    header = ["limit", "heads", "slack", "store a head, units", "even", "bursts", "zipf", "ten heads", "seeds"]
    return markdown_table(header, rows)


def sums_table(points: Points) -> str:
    case_names = {"dead": "dead shelf", "cold": "cold shelf", "budget": "budget"}
    rows = []
    for point in sorted(points, key=lambda p: (list(case_names).index(p["x"]["case"]), p["x"]["heads"])):
        x, y = point["x"], point["y"]
        given = {k: v for k, v in x.items() if k not in ("heads", "seed", "shape", "case")}
        cells = [", ".join(f"{k} {v}" for k, v in figures.items()) for figures in (given, y)]
        rows.append([case_names[x["case"]], str(x["heads"]), x["shape"], *cells, str(x["seed"])])
    return markdown_table(["case", "heads", "demand", "given", "found", "seed"], rows)


def learning_table(points: Points) -> str:
    y_keys = (
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
    x_keys = ("fault", "pair_s", "shape", "heads", "seed")
    rows = [[*(str(p["x"][k]) for k in x_keys), *(str(p["y"][k]) for k in y_keys)] for p in points]
    return markdown_table([*x_keys, *(k.replace("_", " ") for k in y_keys)], rows)


def pools_table(points: Points) -> str:
    rows = []
    for point in points:
        x, y = point["x"], point["y"]
        pool_name = f"{x['kind']}, idle {x['idle_s']:g} s" if "idle_s" in x else x["kind"]
        descriptors = str(x["sockets"]) if x.get("sockets") else "none"
        y_keys = ("head_connections", "shelf_connections", "head_descriptors", "fleet_dials_s")
        rows.append(
            [pool_name, descriptors, str(x["heads"]), x.get("shape", "any"), *(f"{y[key]:,}" for key in y_keys)]
        )
    header = [
        "pool",
        "descriptors given",
        "heads",
        "over shelfs",
        "connections a head",
        "connections a shelf",
        "descriptors a head",
        "dials a second, fleet",
    ]
    return markdown_table(header, rows)


def render_tables(data: dict[str, Any]) -> dict[str, str]:
    renderers = {"limits": limits_table, "sums": sums_table, "learning": learning_table, "pools": pools_table}
    return {scene: render(data[scene]["points"]) for scene, render in renderers.items() if scene in data}


def render_page(page: str, data: dict[str, Any]) -> str:
    """Returns the page with its tables rendered from the data, and the run that gave them in a line below each."""
    rendered = render_tables(data)

    def render_section(match: re.Match[str]) -> str:
        scene = match[1]
        run = data[scene]["run"]
        run_line = f"\n`{run['command']}`, commit {run['commit'][:7]}, {run['date']}, {run['kind']}.\n"
        return f"<!-- table {scene} -->\n{rendered[scene]}{run_line}<!-- end -->"

    return TABLE_PATTERN.sub(render_section, page)


def gather(folder: str, commit: str, date: str) -> dict[str, Any]:
    """Returns the data file's content, with the scenes that the folder has outputs of replaced."""
    data: dict[str, Any] = json.loads(DATA.read_text()) if DATA.exists() else {}
    points_by_scene: dict[str, Points] = {}
    for path in sorted(Path(folder).glob("*-*.json")):
        output = json.loads(path.read_text())
        points_by_scene.setdefault(output["scene"], []).extend(output["points"])
    for scene, points in points_by_scene.items():
        points.sort(key=lambda p: (p["x"]["heads"], p["x"].get("seed", 0)))
        concurrent_load = (
            "nothing that counts"
            if RUN_KINDS[scene] == "computed"
            else "other work; virtual time is the same at any load"
        )
        command = f"python benchmarks/decisions_at_size.py --scene {scene} --heads N --seed S --json"
        run = {
            "id": f"decision-{scene}",
            "command": command,
            "commit": commit,
            "date": date,
            "beside": concurrent_load,
            "kind": RUN_KINDS[scene],
        }
        data[scene] = {"run": run, "points": points}
    return data


def main() -> None:
    command, *rest = sys.argv[1:] or ["write"]
    if command == "gather":
        data = gather(rest[0], rest[2], rest[4])
        lines = [
            json.dumps(scene) + ": " + json.dumps(scene_data).replace('{"x"', '\n{"x"')
            for scene, scene_data in data.items()
        ]
        DATA.write_text("{" + ",\n".join(lines) + "}\n")
    elif command == "fragments":
        for scene, scene_data in json.loads(DATA.read_text()).items():
            (Path(rest[0]) / f"decision-{scene}.json").write_text(json.dumps(scene_data, indent=1) + "\n")
    else:
        PAGE.write_text(render_page(PAGE.read_text(), json.loads(DATA.read_text())))


if __name__ == "__main__":
    main()
