"""The command line: wrong use, help, settings read again by signal."""

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
    ("words", "text", "message"),
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
def test_wrong_use_is_one_plain_line_and_exit_2(tmp_path: Path, words: list[str], text: str, message: str) -> None:
    path = tmp_path / "f.conf"
    path.write_text(text)
    result = run_command(*(w.replace("FILE", str(path)) for w in words))
    assert result.returncode == 2 and "Traceback" not in result.stderr
    assert message.replace("FILE", str(path)) in result.stderr, result.stderr


def test_help_version_and_check_are_there() -> None:
    assert run_command("version").stdout.startswith("pebblehinge ")
    for words in ([], ["head"], ["shelf"], ["listing"], ["check"], ["lab"], ["lab", "day"], ["lab", "load"]):
        result = run_command(*words, "--help")
        assert result.returncode == 0 and "Usage:" in result.stdout
    shown = run_command("check", "--show", str(DAYS_FOLDER / "bad-day.conf"))
    assert shown.returncode == 0 and "# default" in shown.stdout


def test_settings_are_read_again_by_signal_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "head.conf"
    text = GATEWAY_SETTINGS.replace("127.0.0.1:1", f"{LOOPBACK}:7999") + "log {\n    form json\n}\n"
    path.write_text(text)
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

        path.write_text(text.replace("expected", "expecting"))
        process.send_signal(signal.SIGHUP)
        assert "'expecting'" in str(logged_events("settings stay as they were"))
        path.write_text(text.replace("100ms", "200ms"))
        process.send_signal(signal.SIGHUP)
        assert logged_events("settings taken up")
        process.terminate()
        assert process.wait(5) == 0
    finally:
        process.kill()
        process.wait()
