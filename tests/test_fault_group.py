"""Group and gateways under faults: accepted versions survive, and a version that can't be stored is not applied."""

from __future__ import annotations

from typing import Any

import pytest
from test_faults_in_memory import STRUCK, day

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.lab.faults.in_memory_target import AGREED
from pebblehinge.lab.proposer import broken_word
from pebblehinge.replicated_config.application_types import Grant
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings import render_settings
from pebblehinge.settings.load import loads

TEXT = "\n".join(render_settings(STRUCK)) + "\n"


def agreed(village: Any) -> tuple[list[str], list[str]]:
    rows = village.records.rows
    yes = [r["version"] for r in rows if r["e"] == "proposed" and r["ok"]]
    return yes, next((r["versions"] for r in rows if r["e"] == "agreed"), [])


def test_accepted_versions_survive_when_all_members_are_killed() -> None:
    village, known = day("at 3s kill g1 for 1s\nat 5s kill g1 g2 g3 for 1s\nat 8s cut g1 from g2 g3 for 1s\n")
    yes, kept = agreed(village)
    assert known["faults"] == [] and len(yes) > 5 and set(yes[-5:]) <= set(kept)


def test_a_group_whose_disks_do_not_sync_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(FaultyDisk, "sync", lambda disk, name: None)
    for seed in range(6):  # how much of a file a crash leaves is drawn
        _, known = day("at 5s kill g1 g2 g3 for 1s\n", seed)
        if known["faults"]:
            assert any("gone" in said or "stands" in said for said in known["faults"]), known["faults"]
            return
    raise AssertionError("disks that forget were not seen")


@pytest.mark.parametrize(
    ("yes", "kept", "said"),
    [
        ("a b c", "a b c", ""),
        ("a b c", "b c", ""),
        ("a b c", "x b y c", ""),
        ("", "x", ""),
        ("a b c", "a c", "b was said yes to and is gone"),
        ("a b c", "a c b", "the order is not that of the answers"),
        ("a b", "a b b", "b stands twice"),
        ("a b", "x", "nothing of what was said yes to stands"),
        ("a b c", "b", "c was said yes to and is gone"),
    ],
)
def test_lost_or_reordered_versions_are_reported(yes: str, kept: str, said: str) -> None:
    found = broken_word(yes.split(), kept.split())
    assert (said in found) if said else found == []


@pytest.mark.parametrize("kind", ["disk-full", "disk-fail"])
def test_a_gateway_applies_a_version_only_once_it_can_store_it(kind: str) -> None:
    """Guards against an OSError that left the version applied, so that the next renewal acknowledged a version on no
    disk; it occurred in 10 of 24 random scripts."""
    village, known = day(f"at 3s {kind} h1 for 4s\n")
    assert known["faults"] == []
    told = [line for line in village.log.lines if "can't be kept" in line[1]]
    assert len(told) == 1 and told[0][0] == "error"
    head, other = village.fault_ground.disks["h1"], village.fault_ground.disks["h2"]
    last = VersionApplication.restore("h1", 0.2, head.read(AGREED)).active
    assert (
        last == VersionApplication.restore("h2", 0.2, other.read(AGREED)).active > 3
    )  # it caught up when the disk worked again


def test_a_rollback_restores_the_whole_state() -> None:
    application = VersionApplication("h1", 0.2)
    assert application.apply_grant(Grant(application.begin_renewal(0.0), 2_000.0, 1, TEXT, 0, "", {}))
    mark = application.checkpoint()
    before = (
        application.dump(),
        application.effective_config(100.0)[1],
        application.acknowledged_version,
        application.lease_expires_ms,
    )
    lower = TEXT.replace("limit 50/s", "limit 20/s")
    assert loads(lower).plan["basico"].limit == 20.0
    for given in ((0, "", 2, lower, {}), (2, lower, 0, "", {}), (1, "", 0, "", {"v": (1.0, 1.0)})):
        active, text, pending, pending_text, aside = given
        assert application.apply_grant(
            Grant(application.begin_renewal(500.0), 2_000.0, active or 1, text, pending, pending_text, aside)
        )
        assert application.dump() != before[0]
        application.roll_back(mark)
        assert 2 in application.configs or not (text or pending_text)  # read once, for when it can be kept
        mark = application.checkpoint()
        assert (
            application.dump(),
            application.effective_config(100.0)[1],
            application.acknowledged_version,
            application.lease_expires_ms,
        ) == before
