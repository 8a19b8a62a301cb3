"""Starts one process of a scale run: `python benchmarks/scale/launch.py WHERE -- ROLE ...`.

WHERE is one JSON object: name, folder, counting, and with regions the relay's addresses. ROLE is the program's own
command line, which runs unaltered, or `hollow-heads` or `hollow-shelfs` with one more JSON object.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from scale.counting import Counting  # noqa: E402
from scale.settings import SHARED  # noqa: E402


def main() -> None:
    where, words = json.loads(sys.argv[1]), sys.argv[3:]
    counting = Counting(Path(where["folder"]), where["name"], SHARED, where["counting"])
    if where.get("relay") is not None:
        from pebblehinge.lab.faults.process_environment import ProcessEnvironment

        ProcessEnvironment({**where, "control": None}).install()
    counting.lay()
    if words[0] == "hollow-heads":
        from scale import hollow_heads

        hollow_heads.main(json.loads(words[1]), counting)
    elif words[0] == "hollow-shelfs":
        from scale import hollow_shelfs

        hollow_shelfs.main(json.loads(words[1]), counting)
    else:
        sys.argv = ["pebblehinge", *words]
        from pebblehinge.cli import main as program

        program()


if __name__ == "__main__":
    main()
