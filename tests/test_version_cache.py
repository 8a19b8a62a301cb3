"""Tests of the cache of parsed versions: a process parses each text once, and the shared settings are never altered."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from group_settings import apply_entry, settings_text, stored_form
from test_faults_in_memory import STRUCK

from pebblehinge.lab.simulated_fleet import play
from pebblehinge.raft import Entry
from pebblehinge.replicated_config import ConfigState, Leases, VersionApplication, version_cache
from pebblehinge.replicated_config.application_types import Grant
from pebblehinge.settings import Config, SettingsError
from pebblehinge.settings.load import loads


@pytest.fixture(autouse=True)
def parsed_names(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[str]]:
    """Empties the cache, and yields the names under which texts are parsed from now on."""
    names: list[str] = []

    def record_and_load(text: str, name: str) -> Config:
        names.append(name)
        return loads(text, name)

    monkeypatch.setattr(version_cache, "loads", record_and_load)
    version_cache._cache.clear()
    yield names
    version_cache._cache.clear()


def test_gateways_and_members_of_one_process_parse_a_version_once(parsed_names: list[str]) -> None:
    text = settings_text(100)
    states = [ConfigState() for _ in range(3)]
    for state in states:
        assert apply_entry(state, Entry(1, 1, 1, stored_form("propose", 0, text, "a", ""))) == ""
    applications = [VersionApplication(f"h{n}", 0.2) for n in range(1, 5)]
    for application in applications:
        copy = text.encode().decode()  # an equal string that is another object, as decoded from a frame
        application.apply_grant(Grant(application.begin_renewal(0.0), 1000.0, 1, copy, 0, "", {}))
    leases = Leases(2000.0, 0.05, 0.2, 0.0)
    assert parsed_names == ["version 1"]
    assert len({id(a.configs[1]) for a in applications} | {id(leases.config(states[0], 1))}) == 1
    assert len({id(a.texts[1]) for a in applications}) == 1 and applications[0].texts[1] == text


def test_the_cache_drops_the_least_recently_used_text(parsed_names: list[str]) -> None:
    texts = [settings_text(10 + n) for n in range(version_cache.MAX_CACHED_TEXTS + 1)]
    for n, text in enumerate(texts):
        version_cache.parse_version(text, f"{n}")
        version_cache.parse_version(texts[0], "again")
    assert len(version_cache._cache) == version_cache.MAX_CACHED_TEXTS
    assert parsed_names == [str(n) for n in range(len(texts))]
    version_cache.parse_version(texts[1], "gone")
    assert parsed_names[-1] == "gone"


def test_an_error_names_the_source_of_each_caller(parsed_names: list[str]) -> None:
    invalid_text = settings_text() + "volume w {\n    plan nowhere\n}\n"
    for name in ("proposal", "version 7"):
        with pytest.raises(SettingsError, match=f"{name}:.*plan 'nowhere' is not there"):
            version_cache.parse_version(invalid_text, name)
    assert parsed_names == ["proposal", "version 7"]


def test_a_text_that_includes_files_is_parsed_each_time(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)
    limits = []
    for limit in (10, 20):
        Path("plan.conf").write_text(f"plan p {{\n    rate 5/s\n    limit {limit}/s\n    burst 20\n}}\n")
        limits.append(version_cache.parse_version("include plan.conf\n", "text").plan["p"].limit)
    assert limits == [10.0, 20.0]


def test_cached_settings_are_not_altered_in_a_simulated_day(parsed_names: list[str]) -> None:
    """Covers all users of the settings: gateways that apply versions, in each mode, and a leader that reserves."""
    village, results = play(STRUCK, "struck", 3, script=[])
    assert results["faults"] == [] and len(parsed_names) >= 3
    assert {server.state.active for name, server in village.servers.items() if name in STRUCK.member} != {0}
    assert len(version_cache._cache) >= 2
    for entry in version_cache._cache.values():
        assert entry.config == loads(entry.text, "anew")
