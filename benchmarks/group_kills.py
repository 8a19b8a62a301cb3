"""Kills member processes at random while versions are proposed: `python benchmarks/group_kills.py [ROUNDS]`.

The group has five members. In the end, its history, which keeps the latest versions, must hold each accepted version
once and in order, and all members must be at the same commit index and version.
"""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from group_settings import settings_text  # noqa: E402

from pebblehinge.replicated_config.operator_client import ask_group, ask_member  # noqa: E402
from pebblehinge.settings.load import loads  # noqa: E402


async def main(loop: Any, rounds: int) -> int:
    rng = random.Random(7)
    host = f"127.249.{rng.randrange(250)}.{rng.randrange(1, 250)}"
    accepted_notes: list[str] = []  # one per version, in the order of the replies
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        path = folder / "group.conf"
        text = settings_text(100, loopback=host)
        path.write_text(text)
        config = loads(text)
        addresses = [b.listen for b in config.member.values()]
        processes: dict[str, Any] = {}  # the running members

        async def start(member: str) -> None:
            first_start_flags = [] if (folder / member).exists() else ["--begin"]
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pebblehinge",
                "group",
                str(path),
                "--name",
                member,
                "--store",
                str(folder / member),
                *first_start_flags,
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
            processes[member] = process
            assert (await process.stdout.readline()) == b"ready\n", f"{member} did not start"

        async def kill(member: str) -> None:
            processes[member].kill()
            await processes.pop(member).wait()

        async def propose(number: int) -> None:
            ok, history = await ask_group(loop, addresses, "history", {}, 6.0)
            if not ok:
                return
            base = 0 if history.startswith("no ") else int(history.splitlines()[-1].split()[0])
            note = f"round-{number}"
            ok, _ = await ask_group(
                loop,
                addresses,
                "propose",
                {"text": text, "base": base, "note": note, "session": f"s{number}", "serial": 1},
                6.0,
            )
            if ok:
                accepted_notes.append(note)

        await asyncio.gather(*(start(m) for m in config.member))
        for number in range(rounds):
            proposal = loop.create_task(propose(number))
            await asyncio.sleep(rng.uniform(0.0, 0.15))
            for member in rng.sample(sorted(processes), rng.choice([1, 1, 2])):
                if len(processes) > 2:
                    await kill(member)
            await asyncio.gather(proposal, *(start(m) for m in config.member if m not in processes))
        ok, history = await ask_group(loop, addresses, "history", {}, 20.0)
        notes = [line.split()[2] for line in history.splitlines()]
        commits = set()
        for _ in range(100):
            rows = [json.loads((await ask_member(loop, a, "status", {"json": 1}))[1]) for a in addresses]
            commits = {(r["commit"], r["version"]) for r in rows}
            if len(commits) == 1:
                break
            await asyncio.sleep(0.1)
        for member in list(processes):
            await kill(member)
    remaining_notes = [n for n in notes if n in set(accepted_notes)]
    missing_notes = [n for n in accepted_notes[-len(notes) :] if n not in notes]
    in_order = remaining_notes == accepted_notes[-len(remaining_notes) :] and len(notes) == len(set(notes))
    is_sound = ok and len(commits) == 1 and in_order and not missing_notes
    print(
        f"{rounds} rounds, {len(accepted_notes)} versions accepted, {len(notes)} in the final history, all members at "
        f"{sorted(commits)}: {'sound' if is_sound else 'BROKEN'}"
    )
    return 0 if is_sound else 1


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(main(runner.get_loop(), int(sys.argv[1]) if len(sys.argv) > 1 else 200)))
