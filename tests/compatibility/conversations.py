"""What is said over the platform's interfaces: lines of the simulator's wire, clients' requests, operators' questions.

The first two are only run by the script that wrote the fixtures; operators' questions are asked anew by the test.
"""

from __future__ import annotations

import asyncio
import io
import json
import random
from typing import Any

from config_group import Group, run_with_group
from group_settings import settings_text

from pebblehinge.wirehost.loop import Process, serve

SETTINGS: dict[str, Any] = {
    "ceilings": {
        "cancel": True,
        "conn_idle_s": 30.0,
        "connect_timeout_s": 0.25,
        "max_open": 1000,
        "max_retry_after_s": 0.5,
        "retry_after": True,
        "try_limit": 3,
    },
    "classes": [
        {"effect": "safe", "give_up_s": 2.0, "late_worth": 0.1, "name": "look", "on_time_s": 0.4, "points": 2.0},
        {"effect": "unsafe", "give_up_s": 1.0, "late_worth": 0.1, "name": "save", "on_time_s": 0.4, "points": 2.0},
    ],
    "client_habits": {"marks_retry": True},
    "family_info": {
        "idle_worth": 0.05,
        "mean_units": 2.0,
        "most_units": 6,
        "shards": 4,
        "within_share": 0.35,
        "writes": [False, True],
    },
    "membership_mode": "ask",
    "rules": {"cold_share": 0.3, "fall_multiple": 2.0, "warm_after_s": 5.0},
    "service_levels": [{"base_rate": 900.0, "name": "gold", "reserve": 900.0}],
    "step_s": 0.002,
}
CONFIG: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:8443",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
    "settings": SETTINGS,
}
ENDS = ("completed",) * 12 + ("errored", "saturated", "overdue", "refused_conn", "severed", "superseded")


def simulated(seed: int, batches: int = 60) -> list[str]:
    """The lines of a simulator that plays two heads and four nodes, each answer drawn; what heads say is followed."""
    rng, process, lines, now = random.Random(seed), Process(), [], 1.0
    open_: dict[tuple[str, str], int] = {}  # head, id -> attempts sent
    due: list[str] = []  # events for the next batch

    def say(*said: str) -> None:
        for line in said:
            lines.append(line)
            process.process_line(line)

    env = json.dumps(SETTINGS, separators=(",", ":"))
    rows = [f"ROW 1 s{n} {'-' if n % 2 else '0.5'} Ready 0 1.0 a" for n in range(4)]
    rows = [row.replace(" Ready 0 ", f" Ready {n} ") for n, row in enumerate(rows)]
    say("BATCH 1.000000", "MANIFEST 1 4", *rows)
    for head in ("h1", "h2"):
        say(f"FOR {head}", f"HELLO 7 {env}", "SYNC 1 1 full")
    say("GO")
    for number in range(batches):
        now += rng.choice((0.004, 0.02, 0.15))
        say(f"BATCH {now:.6f}", *due)
        due.clear()
        if number in (20, 40):
            state = "Terminating" if number == 20 else "Gone"
            say(f"MANIFEST {number} 1", f"ROW 2 s1 - {state} 1 1.0 a", "FOR h1", f"SYNC {number} 2 delta")
            say("FOR h2", f"SYNC {number} 2 {'full' if number == 40 else 'cached'}", "SYNC - - failed")
        for head in ("h1", "h2"):
            tid, kind = str(number * 2 + (head == "h2")), rng.choice(("look", "save"))
            say(
                f"FOR {head}",
                f"ARRIVAL {tid} {rng.choice(('x1', 'x2', '-'))} {kind} gold {rng.choice((0, 2))} 4 "
                f"{rng.randrange(-1, 4)} {rng.choice((1, 2.5))} v{number % 3} {now + 1.5:.6f}",
            )
            if number % 17 == 5:
                say(f"HANGUP {tid}")
        say("GO")
        source = ""
        for reply in list(process.reply):
            word, *values = reply.split(" ")
            if word == "SOURCE":
                source = values[0]
            elif word == "SUBMIT_TO":
                attempt = open_[source, values[0]] = open_.get((source, values[0]), -1) + 1
                due += (
                    [f"FOR {source}", f"HEADERS {values[0]} {attempt} {values[1]} 0.003"] if rng.random() < 0.3 else []
                )
                due += [
                    f"FOR {source}",
                    f"VERDICT {values[0]} {attempt} - {rng.choice(ENDS)} {rng.randrange(2)} - "
                    f"{values[1]} {rng.choice(('0.004', '0.3', '-'))} -",
                ]
            elif word == "ABORT_ATTEMPT":
                due += [f"FOR {source}", f"VERDICT {values[0]} {values[1]} - recalled 1 - s0 - -"]
            elif word == "TIMER":
                due += [f"FOR {source}", f"TICK_DUE {values[1]}"]
    say(f"BATCH {now + 9:.6f}", "FOR h2", "ECHO completed 0.1 s0 -", "FROM_PEER 1 hello", "DESTROY", "GO")
    return lines


WORDS = (
    "BATCH",
    "FOR",
    "HELLO",
    "DESTROY",
    "MANIFEST",
    "ROW",
    "SYNC",
    "ARRIVAL",
    "HEADERS",
    "VERDICT",
    "HANGUP",
    "TICK_DUE",
    "ECHO",
    "FROM_PEER",
    "GO",
    "NOTHING",
)
GOOD = {
    "BATCH": "1.5",
    "FOR": "h1",
    "HELLO": "1 {}",
    "MANIFEST": "1 1",
    "ROW": "1 s0 0.5 Ready 0 1.0 a",
    "SYNC": "1 1 full",
    "ARRIVAL": "1 x look gold 0 4 0 1.0 v 9.5",
    "HEADERS": "1 0 s0 0.1",
    "HANGUP": "1",
    "TICK_DUE": "1",
    "VERDICT": "1 0 - completed 1 - s0 0.1 -",
    "ECHO": "completed 0.1 s0 -",
    "FROM_PEER": "1 x",
}


def bad_lines() -> list[list[str]]:
    """Beginnings that end in a line which the wire does not allow, each in another place."""
    found = []
    for word in WORDS:
        found.append(["BATCH 1.0", "FOR h1", f"{word} 1 2 3 4 5 6 7 8 9 10 11 12"])
        found.append(["BATCH 1.0", "FOR h1", word])
        values = GOOD.get(word, "").split()
        for place in range(len(values)):
            found.append(["BATCH 1.0", "FOR h1", " ".join([word, *values[:place], "?", *values[place + 1 :]])])
    keys = [key for key in SETTINGS if key != "step_s"]
    for key in keys:
        env = {k: v for k, v in SETTINGS.items() if k != key}
        found.append(["BATCH 1.0", "FOR h1", f"HELLO 1 {json.dumps(env)}"])
        found.append(["BATCH 1.0", "FOR h1", f"HELLO 1 {json.dumps({**SETTINGS, key: 'x'})}"])
    found += [
        ["ROW 1 s0 0.5 Ready 0 1.0 a"],
        ["MANIFEST 1 2", "GO"],
        ["BATCH 1.0", "HANGUP 1"],
        ["BATCH 1.0", "FOR h1", "SYNC 4 1 full"],
        ["BATCH 1.0", "FOR h1", "HANGUP 1"],
    ]
    env = json.dumps(SETTINGS)
    for line in ("SYNC 4 1 full", "ARRIVAL 1 x other gold 0 4 0 1.0 v 9.5", "ARRIVAL 1 x look other 0 4 0 1.0 v 9.5"):
        found.append(["BATCH 1.0", "FOR h1", f"HELLO 1 {env}", line])
    return found


def answered(lines: list[str]) -> str:
    """All that a process writes for these lines, to its output and then to its errors."""
    sink, errors = io.BytesIO(), io.StringIO()
    serve(io.BytesIO(("\n".join(lines) + "\n").encode()), sink, errors)
    return sink.getvalue().decode() + errors.getvalue()


QUESTIONS: list[tuple[str, dict[str, Any]]] = [
    ("history", {}),
    ("status", {"json": 1}),
    ("show", {}),
    ("show", {"version": 9}),
    ("members", {}),
    ("propose", {"text": "nonsense", "base": 1}),
    ("propose", {"text": settings_text(50), "base": 0}),
    ("propose", {"text": settings_text(50), "base": 1, "author": "ana", "note": "less", "session": "s", "serial": 1}),
    ("propose", {"text": settings_text(50), "base": 1, "author": "ana", "note": "less", "session": "s", "serial": 1}),
    ("diff", {"a": 1, "b": 2}),
    ("diff", {"a": 1, "b": 7}),
    ("rollback", {"version": 1}),
    ("rollback", {"version": 8}),
    ("history", {}),
    ("members", {"do": "remove", "name": "g5"}),
    ("members", {"do": "add", "name": "g5"}),
    ("members", {"do": "add", "name": "g9"}),
    ("members", {"do": "other", "name": "g5"}),
    ("members", {}),
    ("forget", {"head": "h9"}),
    ("transfer", {"to": "g9"}),
    ("propose", {}),
    ("nothing", {}),
    ("rollback", {}),
    ("forget", {}),
    ("transfer", {}),
]


def asked() -> list[list[Any]]:
    """Each question of an operator with its answer, of a group in virtual time."""
    answers: list[list[Any]] = []

    async def script(group: Group) -> None:
        for verb, values in QUESTIONS:
            ok, text = await group.ask(verb, **values)
            answers.append([verb, values, ok, text])
            await asyncio.sleep(2.0)

    run_with_group(script, seed=3)
    return answers
