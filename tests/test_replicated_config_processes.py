"""Tests of the replicated configuration on sockets: member processes, a gateway process, and the command line."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

from group_settings import settings_text
from helpers import LOOPBACK
from test_command_line import run_command


def test_the_command_line_proposes_and_shows_versions_of_member_processes(tmp_path: Path) -> None:
    host = LOOPBACK.rpartition(".")[0] + ".251"
    path = tmp_path / "group.conf"
    path.write_text(settings_text(100, 3, loopback=host).replace("lease 2s", "lease 1s"))
    processes: dict[str, subprocess.Popen] = {}
    initialized: dict[str, None] = {}

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
                *(["--begin"] if name not in initialized else []),
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        assert process.stdout is not None and process.stdout.readline() == b"ready\n"
        processes[name] = process
        initialized[name] = None

    def config(*args: str) -> subprocess.CompletedProcess[str]:
        return run_command("config", "--group", str(path), *args)

    try:
        for n in range(1, 6):
            start(f"g{n}")
        accepted_proposal = config("propose", str(path), "--note", "the first")
        assert accepted_proposal.returncode == 0 and "version 1 is agreed" in accepted_proposal.stdout, (
            accepted_proposal.stderr
        )
        second_path = tmp_path / "changed.conf"
        second_path.write_text(path.read_text().replace("limit 100/s", "limit 80/s"))
        assert config("propose", str(second_path), "--base", "1").returncode == 0
        large_path = tmp_path / "big.conf"
        large_path.write_text(
            path.read_text() + "".join(f"volume x{n} {{\n    plan capped\n}}\n" for n in range(20_000))
        )
        failure = config("propose", str(large_path), "--base", "2")
        assert failure.returncode != 0 and "Traceback" not in failure.stderr and failure.stderr.count("\n") <= 2, (
            failure.stderr
        )
        invalid_text = path.read_text().replace("plan capped\n    heads", "plan nowhere\n    heads")
        (tmp_path / "odd.conf").write_text(invalid_text)
        failure = config("propose", str(tmp_path / "odd.conf"))
        assert failure.returncode == 2 and "plan 'nowhere' is not there" in failure.stderr
        stale_proposal = config("propose", str(second_path), "--base", "1")
        assert stale_proposal.returncode == 1 and "based on version 1, the newest is 2" in stale_proposal.stderr
        assert "-    limit 100/s" in config("diff", "1", "2").stdout
        for name in ("g1", "g2"):
            processes[name].kill()
            processes[name].wait()
        assert config("rollback", "1").returncode == 0
        assert "back to version 1" in config("history").stdout
        assert "limit 100/s" in config("show").stdout
        status = config("status").stdout
        assert status.count("active 3") == 3 and status.count("can't be reached") == 2, status
        rows = [json.loads(line) for line in config("status", "--json").stdout.splitlines()]
        assert {r["version"] for r in rows if "version" in r} == {3} and len({r["leader"] for r in rows[2:]}) == 1
        for args, reason in (
            (["--name", "g3", "--store", str(tmp_path / "g3")], "in use by another process"),
            (["--name", "g1", "--store", str(tmp_path / "g2")], "the folder is g2's of group"),
            (["--name", "g1", "--store", str(tmp_path / "new")], "the folder is empty: if g1 has never run"),
        ):
            failure = run_command("group", str(path), *args)
            assert failure.returncode == 2 and reason in failure.stderr and "Traceback" not in failure.stderr
        assert "voters g1 g2 g3 g4 g5" in config("members").stdout
        processes["g3"].kill()
        no_majority = config("history")
        assert no_majority.returncode == 2 and "Traceback" not in no_majority.stderr
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


def test_a_gateway_process_applies_versions_and_runs_without_a_majority(tmp_path: Path) -> None:
    host = LOOPBACK.rpartition(".")[0] + ".252"
    path = tmp_path / "group.conf"
    text = settings_text(90, 3, loopback=host).replace("lease 2s", "lease 1s") + "log {\n    form json\n}\n"
    path.write_text(text)
    running: list[subprocess.Popen] = []

    def start(*args: str) -> subprocess.Popen:
        log = (tmp_path / "head.log").open("ab")
        process = subprocess.Popen([sys.executable, "-m", "pebblehinge", *args], stdout=subprocess.PIPE, stderr=log)
        running.append(process)
        assert process.stdout is not None and process.stdout.readline() == b"ready\n"
        return process

    def logged_modes() -> list[tuple[int, str]]:
        """Returns the versions and modes that the gateway has logged."""
        rows = [json.loads(x) for x in (tmp_path / "head.log").read_text().splitlines() if x.startswith("{")]
        return [(r["version"], r["mode"]) for r in rows if r["event"] == "configuration"]

    def wait_for(version_and_mode: tuple[int, str]) -> None:
        deadline = time.monotonic() + 15
        while logged_modes()[-1:] != [version_and_mode]:
            assert time.monotonic() < deadline, logged_modes()
            time.sleep(0.05)

    gateway_args = ["head", str(path), "--name", "h1", "--agreed", str(tmp_path / "h1.agreed")]
    try:
        members = [
            start("group", str(path), "--name", f"g{n}", "--store", str(tmp_path / f"g{n}"), "--begin")
            for n in (1, 2, 3)
        ]
        assert run_command("config", "--group", str(path), "propose", str(path)).returncode == 0
        gateway = start(*gateway_args)
        wait_for((1, "active"))
        lower_limit_path = tmp_path / "lower.conf"
        lower_limit_path.write_text(text.replace("limit 90/s", "limit 60/s"))
        assert run_command("config", "--group", str(path), "propose", str(lower_limit_path)).returncode == 0
        wait_for((2, "active"))
        members[0].kill()
        wait_for((2, "cut off"))  # two of five voters are running
        gateway.kill()
        gateway.wait()
        restarted_gateway = start(*gateway_args)
        wait_for((2, "cut off"))
        restarted_gateway.terminate()
        assert restarted_gateway.wait(10) == 0  # it runs without a lease, and stops as it should
    finally:
        for process in running:
            if process.poll() is None:
                process.kill()
                process.wait()
