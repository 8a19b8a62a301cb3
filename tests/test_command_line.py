"""Tests of the command line: usage errors, help, and the reload of the settings by signal."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from command_line import DAYS_FOLDER, run_command
from helpers import LOOPBACK

GATEWAY_SETTINGS = """
profile a {
    importance 1
    expected 100ms
    patience 1s
    repeat redoable
}
head h1 {
    listen 127.0.0.1:1
}
"""


@pytest.mark.parametrize(
    ("arguments", "settings_text", "message"),
    [
        (["check", "FILE"], "rulez {\n}\n", "FILE:1:1: unknown directive 'rulez': expected rules"),
        (["check", "nowhere.conf"], "", "nowhere.conf can't be read"),
        (["head", "FILE"], "log {\n}\n", "name one head of none"),
        (["head", "FILE", "--records", "/nowhere"], GATEWAY_SETTINGS, "/nowhere/head-h1.jsonl can't be written"),
        (["shelf", "FILE", "--name", "s9"], GATEWAY_SETTINGS, "shelf 's9' is not in the settings"),
        (["lab", "day", "no-such-day"], "", "no day 'no-such-day': expected a file, or one of archive-deadline"),
        (["lab", "check", "nowhere"], "", "nowhere holds no day.conf"),
        (["head"], "", "Missing argument"),
    ],
)
def test_usage_errors_exit_with_2_and_a_message_without_traceback(
    tmp_path: Path, arguments: list[str], settings_text: str, message: str
) -> None:
    path = tmp_path / "f.conf"
    path.write_text(settings_text)
    result = run_command(*(argument.replace("FILE", str(path)) for argument in arguments))
    assert result.returncode == 2 and "Traceback" not in result.stderr
    assert message.replace("FILE", str(path)) in result.stderr, result.stderr


def test_help_version_and_check_succeed() -> None:
    assert run_command("version").stdout.startswith("pebblehinge ")
    for arguments in ([], ["head"], ["shelf"], ["listing"], ["check"], ["lab"], ["lab", "day"], ["lab", "load"]):
        result = run_command(*arguments, "--help")
        assert result.returncode == 0 and "Usage:" in result.stdout
    shown = run_command("check", "--show", str(DAYS_FOLDER / "bad-day.conf"))
    assert shown.returncode == 0 and "# default" in shown.stdout


def test_sighup_reloads_settings_and_ignores_an_invalid_file(tmp_path: Path) -> None:
    path = tmp_path / "head.conf"
    settings_text = GATEWAY_SETTINGS.replace("127.0.0.1:1", f"{LOOPBACK}:7999") + "log {\n    form json\n}\n"
    path.write_text(settings_text)
    with (tmp_path / "log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "pebblehinge", "head", str(path)], stdout=subprocess.PIPE, stderr=log
        )
    try:
        assert process.stdout is not None and process.stdout.readline() == b"ready\n"

        def logged_events(event: str) -> list[dict]:
            deadline = time.monotonic() + 5.0
            while time.monotonic() < deadline:
                rows = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
                if matching_rows := [r for r in rows if r["event"] == event]:
                    return matching_rows
                time.sleep(0.02)
            return []

        path.write_text(settings_text.replace("expected", "expecting"))
        process.send_signal(signal.SIGHUP)
        assert "'expecting'" in str(logged_events("settings stay as they were"))
        path.write_text(settings_text.replace("100ms", "200ms"))
        process.send_signal(signal.SIGHUP)
        assert logged_events("settings taken up")
        process.terminate()
        assert process.wait(5) == 0
    finally:
        process.kill()
        process.wait()
