"""Measures the cost of gateways that decide independently, at the planned size: the real module in virtual time.

    python benchmarks/decisions_at_size.py --scene limits --heads 910 --seed 1 [--case 50] --json

Scenes: `limits` (the limit of a quota plan, split evenly over the gateways; cases 50, 500, 5000), and the others in
SCENES. The same scene, size and seed give the same figures. The page has 30, 100, 300, 910 gateways, seeds 1 and 2.
"""

from __future__ import annotations

import argparse
import importlib
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
SCENES = ("limits", "sums", "pools", "learning")


def main() -> None:
    """Runs one scene and prints its points."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--scene", required=True, choices=SCENES)
    parser.add_argument("--heads", type=int, default=910)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--case", default="", help="one case of the scene; all if none is given")
    parser.add_argument("--json", action="store_true", help="print the points as JSON instead of one line each")
    args = parser.parse_args()
    if not 1 <= args.heads <= 1_024:
        parser.error(f"--heads {args.heads}: expected 1 to 1024")
    start_s = time.process_time()
    points = importlib.import_module(f"decisions_{args.scene}").points(args.heads, args.seed, args.case)
    if args.json:
        print(json.dumps({"scene": args.scene, "points": points}))
    else:
        for point in points:
            print(*(f"{key}={value}" for key, value in (*point["x"].items(), "|=".split("="), *point["y"].items())))
    print(f"{args.scene} {args.heads}: {time.process_time() - start_s:.0f} s of one core", file=sys.stderr)


if __name__ == "__main__":
    main()
