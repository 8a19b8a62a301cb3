"""Five processes, killed at random moments while versions are proposed: `python benchmarks/group_kills.py [ROUNDS]`.

Every version that the group said yes to must stand once, in order, in every instance in the end.
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

from config_document import document  # noqa: E402

from pebblehinge.replicated_config.operator_client import ask_group, ask_member  # noqa: E402
from pebblehinge.settings.load import loads  # noqa: E402


async def main(loop: Any, rounds: int) -> int:
    rng = random.Random(7)
    host = f"127.249.{rng.randrange(250)}.{rng.randrange(1, 250)}"
    said_yes: list[str] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        path = folder / "group.conf"
        text = document(100, loopback=host)
        path.write_text(text)
        config = loads(text)
        addresses = [b.listen for b in config.member.values()]
        up: dict[str, Any] = {}

        async def start(member: str) -> None:
            more = [] if (folder / member).exists() else ["--begin"]
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
                *more,
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
            up[member] = process
            assert (await process.stdout.readline()) == b"ready\n", f"{member} did not start again"

        async def kill(member: str) -> None:
            up[member].kill()
            await up.pop(member).wait()

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
                said_yes.append(note)

        await asyncio.gather(*(start(m) for m in config.member))
        for number in range(rounds):
            asked = loop.create_task(propose(number))
            await asyncio.sleep(rng.uniform(0.0, 0.15))
            for member in rng.sample(sorted(up), rng.choice([1, 1, 2])):
                if len(up) > 2:
                    await kill(member)
            await asyncio.gather(asked, *(start(m) for m in config.member if m not in up))
        ok, history = await ask_group(loop, addresses, "history", {}, 20.0)
        notes = [line.split()[2] for line in history.splitlines()]
        commits = set()
        for _ in range(100):
            rows = [json.loads((await ask_member(loop, a, "status", {"json": 1}))[1]) for a in addresses]
            commits = {(r["commit"], r["version"]) for r in rows}
            if len(commits) == 1:
                break
            await asyncio.sleep(0.1)
        for member in list(up):
            await kill(member)
    kept = [n for n in notes if n in set(said_yes)]
    missing = [n for n in said_yes[-len(notes) :] if n not in notes]
    in_order = kept == said_yes[-len(kept) :] and len(notes) == len(set(notes))
    sound = ok and len(commits) == 1 and in_order and not missing
    print(
        f"{rounds} rounds, {len(said_yes)} versions said yes to, {len(notes)} kept in the end, all instances at "
        f"{sorted(commits)}: {'sound' if sound else 'BROKEN'}"
    )
    return 0 if sound else 1


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(main(runner.get_loop(), int(sys.argv[1]) if len(sys.argv) > 1 else 200)))
