"""A version's text is read once a process, and what was read of it is shared and never altered."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from group_settings import apply_entry, settings_text, stored_form
from test_faults_in_memory import STRUCK

from pebblehinge.lab.village import play
from pebblehinge.raft import Entry
from pebblehinge.replicated_config import ConfigState, Leases, VersionApplication, version_cache
from pebblehinge.replicated_config.application_types import Grant
from pebblehinge.settings import Config, SettingsError
from pebblehinge.settings.load import loads


@pytest.fixture(autouse=True)
def reads(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[str]]:
    """The names under which texts were really read, from a process that holds none."""
    names: list[str] = []

    def counted(text: str, name: str) -> Config:
        names.append(name)
        return loads(text, name)

    monkeypatch.setattr(version_cache, "loads", counted)
    version_cache._cache.clear()
    yield names
    version_cache._cache.clear()


def test_heads_and_instances_of_one_process_read_a_version_once(reads: list[str]) -> None:
    text = settings_text(100)
    states = [ConfigState() for _ in range(3)]
    for state in states:
        assert apply_entry(state, Entry(1, 1, 1, stored_form("propose", 0, text, "a", ""))) == ""
    applications = [VersionApplication(f"h{n}", 0.2) for n in range(1, 5)]
    for application in applications:
        copy = text.encode().decode()  # as it comes out of a frame: another string of the same characters
        application.apply_grant(Grant(application.begin_renewal(0.0), 1000.0, 1, copy, 0, "", {}))
    leases = Leases(2000.0, 0.05, 0.2, 0.0)
    assert reads == ["version 1"]
    assert len({id(t.configs[1]) for t in applications} | {id(leases.config(states[0], 1))}) == 1
    assert len({id(t.texts[1]) for t in applications}) == 1 and applications[0].texts[1] == text


def test_few_texts_are_held_and_the_one_least_recently_used_goes(reads: list[str]) -> None:
    texts = [settings_text(10 + n) for n in range(version_cache.MAX_CACHED_TEXTS + 1)]
    for n, text in enumerate(texts):
        version_cache.parse_version(text, f"{n}")
        version_cache.parse_version(texts[0], "again")
    assert len(version_cache._cache) == version_cache.MAX_CACHED_TEXTS
    assert reads == [str(n) for n in range(len(texts))]
    version_cache.parse_version(texts[1], "gone")
    assert reads[-1] == "gone"


def test_an_error_is_told_to_each_by_its_own_name(reads: list[str]) -> None:
    wrong = settings_text() + "volume w {\n    plan nowhere\n}\n"
    for name in ("proposal", "version 7"):
        with pytest.raises(SettingsError, match=f"{name}:.*plan 'nowhere' is not there"):
            version_cache.parse_version(wrong, name)
    assert reads == ["proposal", "version 7"]


def test_a_text_that_includes_files_is_read_anew(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)
    found = []
    for limit in (10, 20):
        Path("plan.conf").write_text(f"plan p {{\n    rate 5/s\n    limit {limit}/s\n    burst 20\n}}\n")
        found.append(version_cache.parse_version("include plan.conf\n", "text").plan["p"].limit)
    assert found == [10.0, 20.0]


def test_nobody_alters_what_was_read_through_a_day(reads: list[str]) -> None:
    """Heads that take versions up, are careful, cut off and hand them to their core; the leader that sets aside."""
    village, known = play(STRUCK, "struck", 3, script=[])
    assert known["faults"] == [] and len(reads) >= 3
    assert {s.state.active for n, s in village.servers.items() if n in STRUCK.member} != {0}
    assert len(version_cache._cache) >= 2
    for parsed in version_cache._cache.values():
        assert parsed.config == loads(parsed.text, "anew")
