"""The mark by which a memory file knows its settings, for settings of every shape."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from plain import saved
from random_runs import CONFIG, SLOW_START_CONFIG

from pebblehinge.interface import Settings
from pebblehinge.settings import Config, load
from pebblehinge.store.memory import hash_settings

ROOT = Path(__file__).parent.parent.parent
FILES = sorted([*(ROOT / "examples").glob("*.conf"), *(ROOT / "pebblehinge" / "lab" / "days").glob("*.conf")])


def handed(config: Config) -> Settings:
    return config.scheduler_settings(next(iter(config.head.values())))


def marks() -> dict[str, str]:
    """The mark of each file's settings, and of some that are drawn from."""
    found = {file.name: hash_settings(handed(load(str(file)))) for file in FILES if load(str(file)).head}
    drawn = handed(CONFIG)
    found |= {"drawn": hash_settings(drawn), "cold": hash_settings(handed(SLOW_START_CONFIG))}
    found["no plans"] = hash_settings(replace(drawn, quota_plans=()))
    found["one of each"] = hash_settings(
        replace(drawn, quota_plans=drawn.quota_plans[:1], request_classes=drawn.request_classes[:1])
    )
    found["no budget"] = hash_settings(replace(drawn, retry_budget_share=None))
    return found


def test_settings_have_the_marks_of_before() -> None:
    assert marks() == saved("settings_marks")


@pytest.mark.parametrize("changes", [
    {"mean_units": 2.5}, {"retry_budget_window_ms": 1.0}, {"cancellation_allowed": False}, {"request_classes": ()},
])  # fmt: skip
def test_other_settings_have_another_mark(changes: dict[str, Any]) -> None:
    assert hash_settings(replace(handed(CONFIG), **changes)) not in saved("settings_marks").values()
