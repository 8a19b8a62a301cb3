"""Shared configuration on sockets: processes of the group, a head that follows it, and the command line."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

from group_settings import settings_text
from helpers import LOOPBACK
from test_lab import command


def test_processes_agree_and_the_command_line_changes_and_shows(tmp_path: Path) -> None:
    host = LOOPBACK.rpartition(".")[0] + ".251"
    path = tmp_path / "group.conf"
    path.write_text(settings_text(100, 3, loopback=host).replace("lease 2s", "lease 1s"))
    processes: dict[str, subprocess.Popen] = {}
    begun: dict[str, None] = {}

    def start(name: str) -> None:
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "pebblehinge",
                "group",
                str(path),
                "--name",
                name,
                "--store",
                str(tmp_path / name),
                *(["--begin"] if name not in begun else []),
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        assert process.stdout is not None and process.stdout.readline() == b"ready\n"
        processes[name] = process
        begun[name] = None

    def config(*words: str) -> subprocess.CompletedProcess[str]:
        return command("config", "--group", str(path), *words)

    try:
        for n in range(1, 6):
            start(f"g{n}")
        done = config("propose", str(path), "--note", "the first")
        assert done.returncode == 0 and "version 1 is agreed" in done.stdout, done.stderr
        changed = tmp_path / "changed.conf"
        changed.write_text(path.read_text().replace("limit 100/s", "limit 80/s"))
        assert config("propose", str(changed), "--base", "1").returncode == 0
        big = tmp_path / "big.conf"
        big.write_text(path.read_text() + "".join(f"volume x{n} {{\n    plan capped\n}}\n" for n in range(20_000)))
        wrong = config("propose", str(big), "--base", "2")
        assert wrong.returncode != 0 and "Traceback" not in wrong.stderr and wrong.stderr.count("\n") <= 2, wrong.stderr
        odd = path.read_text().replace("plan capped\n    heads", "plan nowhere\n    heads")
        (tmp_path / "odd.conf").write_text(odd)
        wrong = config("propose", str(tmp_path / "odd.conf"))
        assert wrong.returncode == 2 and "plan 'nowhere' is not there" in wrong.stderr
        late = config("propose", str(changed), "--base", "1")
        assert late.returncode == 1 and "based on version 1, the newest is 2" in late.stderr
        assert "-    limit 100/s" in config("diff", "1", "2").stdout
        for name in ("g1", "g2"):
            processes[name].kill()
            processes[name].wait()
        assert config("rollback", "1").returncode == 0
        assert "back to version 1" in config("history").stdout
        assert "limit 100/s" in config("show").stdout
        status = config("status").stdout
        assert status.count("active 3") == 3 and status.count("can't be reached") == 2, status
        told = [json.loads(line) for line in config("status", "--json").stdout.splitlines()]
        assert {t["version"] for t in told if "version" in t} == {3} and len({t["leader"] for t in told[2:]}) == 1
        for words, said in (
            (["--name", "g3", "--store", str(tmp_path / "g3")], "in use by another process"),
            (["--name", "g1", "--store", str(tmp_path / "g2")], "the folder is g2's of group"),
            (["--name", "g1", "--store", str(tmp_path / "new")], "the folder is empty: if g1 has never run"),
        ):
            wrong = command("group", str(path), *words)
            assert wrong.returncode == 2 and said in wrong.stderr and "Traceback" not in wrong.stderr
        assert "voters g1 g2 g3 g4 g5" in config("members").stdout
        processes["g3"].kill()
        none = config("history")
        assert none.returncode == 2 and "Traceback" not in none.stderr
        start("g1")
        deadline = time.monotonic() + 10
        while config("history").returncode != 0:
            assert time.monotonic() < deadline
        for name in ("g1", "g4", "g5"):
            processes[name].terminate()
            assert processes[name].wait(5) == 0
    finally:
        for process in processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()


def test_a_head_process_follows_the_group_and_serves_on_without_it(tmp_path: Path) -> None:
    host = LOOPBACK.rpartition(".")[0] + ".252"
    path = tmp_path / "group.conf"
    text = settings_text(90, 3, loopback=host).replace("lease 2s", "lease 1s") + "log {\n    form json\n}\n"
    path.write_text(text)
    running: list[subprocess.Popen] = []

    def start(*words: str) -> subprocess.Popen:
        log = (tmp_path / "head.log").open("ab")
        process = subprocess.Popen([sys.executable, "-m", "pebblehinge", *words], stdout=subprocess.PIPE, stderr=log)
        running.append(process)
        assert process.stdout is not None and process.stdout.readline() == b"ready\n"
        return process

    def modes() -> list[tuple[int, str]]:
        rows = [json.loads(x) for x in (tmp_path / "head.log").read_text().splitlines() if x.startswith("{")]
        return [(r["version"], r["mode"]) for r in rows if r["event"] == "configuration"]

    def wait_for(what: tuple[int, str]) -> None:
        deadline = time.monotonic() + 15
        while modes()[-1:] != [what]:
            assert time.monotonic() < deadline, modes()
            time.sleep(0.05)

    head = ["head", str(path), "--name", "h1", "--agreed", str(tmp_path / "h1.agreed")]
    try:
        members = [
            start("group", str(path), "--name", f"g{n}", "--store", str(tmp_path / f"g{n}"), "--begin")
            for n in (1, 2, 3)
        ]
        assert command("config", "--group", str(path), "propose", str(path)).returncode == 0
        first = start(*head)
        wait_for((1, "active"))
        lower = tmp_path / "lower.conf"
        lower.write_text(text.replace("limit 90/s", "limit 60/s"))
        assert command("config", "--group", str(path), "propose", str(lower)).returncode == 0
        wait_for((2, "active"))
        members[0].kill()
        wait_for((2, "cut off"))  # two of five voters are left
        first.kill()
        first.wait()
        again = start(*head)
        wait_for((2, "cut off"))
        again.terminate()
        assert again.wait(10) == 0  # it serves, and stops as any head does
    finally:
        for process in running:
            if process.poll() is None:
                process.kill()
                process.wait()
