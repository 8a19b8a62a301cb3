"""The settings of a scale run: a small real fleet with clients, and hollow heads that share one limit with it."""

from __future__ import annotations

import random
import re
import sys
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from fault_days import text_of  # noqa: E402

from pebblehinge.settings import Config, render_settings  # noqa: E402

REAL_HEADS, REAL_SHELFS = 5, 8
SHARED = "everywhere-1"  # the volume whose limit is split over all heads
LIMIT = 1000.0  # of it, a second
LEASE = "    lease 3s\n    drift 5%\n    floor 25%\n    renew 500ms\n    tick 50ms\n"  # the program's usual figures
THROUGH = {"basico": "h1 h2 h3", "associado": "h4", "premium": "h3 h4 h5"}  # real heads alone have clients


def hollow_names(heads: int) -> list[str]:
    return [f"x{n}" for n in range(1, heads - REAL_HEADS + 1)]


def scale_text(heads: int, members: int, length_s: float, rate: float, loopback: str = "127.0.0.1") -> str:
    """One file for all processes. `heads` counts real and hollow ones; addresses are of the run's own loopback."""
    text = text_of(REAL_HEADS, REAL_SHELFS, members, length_s, rate)
    for plan, through in THROUGH.items():
        text = re.sub(rf"(volumes {plan} \d+ \{{\n)", rf"\1    through {through}\n", text)
    text = re.sub(r"\nlimits \{[^}]*\}", "", text)  # the day's are for quick faults; the program's usual ones hold here
    text = text.replace("settle 2s", "settle 5s")  # many processes start beside the load
    text = re.sub(r"(\ngroup \{\n)[^}]*", lambda m: m[1] + LEASE, text)
    text += f"plan everywhere {{\n rate 0.000001/s\n limit {LIMIT:g}/s\n burst {LIMIT:g}\n slack 0\n}}\n"
    # No `through`: a line of settings holds 4,096 characters.
    text += f"volumes everywhere 1 {{\n plan everywhere\n heads {heads}\n}}\n"
    text += "".join(
        f"head {name} {{\n listen 127.0.0.1:{20000 + n}\n}}\n" for n, name in enumerate(hollow_names(heads))
    )
    text = text.replace("\nfleet {\n", f"\nfleet {{\n    loopback {loopback}\n")
    return text.replace("127.0.0.1:", f"{loopback}:")


class Versions:
    """Versions to propose: the same settings with other limits, never above those of the file, which the rules of
    the day are judged by. Their text is as `config propose` sends it, with every default spelled out, or, with the
    file's own text as `short`, as an operator writes it."""

    def __init__(self, config: Config, seed: int, short: str = "") -> None:
        self.config, self.rng, self.short = config, random.Random(f"{seed}/versions"), short
        self.limits: dict[int, float] = {}  # of the shared volume, by version

    def text(self, number: int) -> str:
        limit = self.limits[number] = round(LIMIT * self.rng.uniform(0.5, 1.0), 3)
        if self.short:
            basic = f"limit {round(self.config.plan['basico'].limit * self.rng.uniform(0.8, 1.0), 3):g}/s"
            text = re.sub(
                r"(plan everywhere \{[^}]*?)limit [^ ]+\n burst [^ ]+\n",
                rf"\g<1>limit {limit:.12g}/s\n burst {limit:.12g}\n",
                self.short,
            )
            return re.sub(r"(plan basico \{[^}]*?)limit \S+", rf"\g<1>{basic}", text)
        plans = dict(self.config.plan)
        plans["everywhere"] = msgspec.structs.replace(plans["everywhere"], limit=limit, burst=limit)
        basico = self.config.plan["basico"]
        plans["basico"] = msgspec.structs.replace(basico, limit=round(basico.limit * self.rng.uniform(0.8, 1.0), 3))
        return "\n".join(render_settings(msgspec.structs.replace(self.config, plan=plans))) + "\n"
