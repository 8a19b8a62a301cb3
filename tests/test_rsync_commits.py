"""Commits of rsync pushes whose answers are lost, late or cut off: each save takes effect once.

After each, `in_town` looks into the shelfs' own records: no save may have taken effect twice.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from rsync_town import Town, in_town
from rsync_trees import BIG, held, stands

from pebblehinge.lab.rsync_call import Local
from pebblehinge.rsync.errors import EXIT_PARTIAL, EXIT_STREAM
from pebblehinge.rsync.transfer import Transfer


def test_a_save_whose_answer_is_lost_is_looked_for_and_made_once() -> None:
    """The shelf does the append and its answer never comes: the head reads the log, and does not append again."""

    async def script(t: Town) -> None:
        assert (await t.push({b"first": Local(b"1")})).code == 0
        lost = []
        for name in ("s1", "s2", "s3"):
            requests = t.servers[name].requests
            respond = requests.respond

            def silent(attempt: Any, status: int, text: str, data: bytes, respond: Any = respond) -> None:
                if attempt.operation == 2 and len(lost) < 2:
                    lost.append(attempt.request_id)
                    attempt.connection.attempts.pop(attempt.number, None)
                    return
                respond(attempt, status, text, data)

            requests.respond = silent
        got = await t.push({b"save": Local(b"2"), b"other": Local(b"3")})
        assert got.code == 0 and lost, (got, lost)
        assert sorted(await stands(t)) == [b".", b"first", b"other", b"save"]
        assert t.servers["h1"].rsync_listener.module_stores["tenders"].uncertain >= 1

    in_town(script)


def test_a_save_of_which_nothing_can_be_known_is_called_so_and_a_repeat_finds_out() -> None:
    async def script(t: Town) -> None:
        assert (await t.push({b"first": Local(b"1")})).code == 0
        silent: list[str] = []
        for name in ("s1", "s2", "s3"):
            requests = t.servers[name].requests
            respond = requests.respond

            def never(attempt: Any, status: int, text: str, data: bytes, respond: Any = respond) -> None:
                if attempt.operation == 2 or silent:  # the save is done, and from then on nothing is answered
                    silent.append(attempt.request_id)
                    attempt.connection.attempts.pop(attempt.number, None)
                else:
                    respond(attempt, status, text, data)

            requests.respond = never
        got = await t.push({b"save": Local(b"2")})
        assert got.code == EXIT_PARTIAL and "not known whether this save stands" in got.said[0][1], got
        for name in ("s1", "s2", "s3"):
            del t.servers[name].requests.respond
        again = await t.push({b"save": Local(b"2")}, head="h2")
        assert again.code == 0 and again.moved == []  # it had landed, and was seen to stand

    in_town(script)


@pytest.mark.parametrize("lost", [False, True])
def test_a_save_that_hangs_at_the_shelf_lands_once_however_late_it_comes(lost: bool) -> None:
    """The first append is held back in the shelf while the head appends again: only one of them may hold."""

    async def script(t: Town) -> None:
        assert (await t.push({b"first": Local(b"1")})).code == 0
        late: list[Any] = []
        for name in ("s1", "s2", "s3"):
            requests = t.servers[name].requests
            complete = requests.complete

            def slowly(attempt: Any, requests: Any = requests, complete: Any = complete) -> None:
                if attempt.operation == 2 and not late:
                    late.append(lambda: (requests.read_clock(), complete(attempt)))
                    return
                complete(attempt)

            requests.complete = slowly
        got = await t.push({b"save": Local(b"2")})
        assert got.code == 0 and late, got
        late[0]()  # only now
        await asyncio.sleep(1.0)
        assert (await stands(t))[b"save"] == b"2"
        assert all(n == 1 for n in t.labels().values()), t.labels()
        beside = [row for notes in t.notes.values() for row in notes.rows if row["e"] == "beside"]
        assert len(beside) == 1

    in_town(script, seed=2 + lost)


@pytest.mark.parametrize("when", ["before the commit", "after the commit"])
def test_a_head_that_is_killed_at_the_commit_and_the_clients_retry(when: str, monkeypatch: pytest.MonkeyPatch) -> None:
    files = {b"big": Local(BIG), b"small": Local(b"s")}

    async def script(t: Town) -> None:
        real = Transfer.append
        struck = []

        async def append(self: Transfer, *values: Any) -> Any:
            if not struck and self.trace.startswith("h1"):
                struck.append(1)
                if when == "after the commit":
                    await real(self, *values)
                t.kill("h1")
                await asyncio.sleep(3600.0)
            return await real(self, *values)

        monkeypatch.setattr(Transfer, "append", append)
        first = await t.push(files)
        assert first.code == EXIT_STREAM and struck
        again = await t.push(files, head="h2")
        assert again.code == 0, again
        assert {n: d for n, d in (await stands(t, head="h2")).items() if n != b"."} == held(files)
        if when == "after the commit":
            assert len(again.moved) < 2  # what had landed was seen to stand

    in_town(script)


def test_a_shelf_that_appends_anywhere_lets_a_save_land_twice_and_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the condition on its end a log would take the late append, too."""
    from pebblehinge.storage_node.effects import EffectApplier

    real = EffectApplier.apply

    def anywhere(self: Any, t: Any, now: float) -> bool:
        if t.operation == 2:
            t.offset = self._contents.length(t.extent)
        return real(self, t, now)

    monkeypatch.setattr(EffectApplier, "apply", anywhere)
    with pytest.raises(AssertionError, match=": 2"):
        test_a_save_that_hangs_at_the_shelf_lands_once_however_late_it_comes(False)
