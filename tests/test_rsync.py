"""Whole transfers through heads and shelfs in virtual time: what a client may ask for, and what it gets.

After each, `in_town` looks into the shelfs' own records: no save may have taken effect twice.
"""

from __future__ import annotations

import stat
from typing import Any

import pytest
from rsync_town import SETTINGS, Town, in_town
from rsync_trees import BIG, TREE, held, stands

from pebblehinge.lab.rsync_call import Call, Local, folder
from pebblehinge.rsync.errors import EXIT_DELETE_LIMIT, EXIT_PARTIAL, EXIT_START, EXIT_SYNTAX
from pebblehinge.rsync.module_store import ModuleStore
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.tree import DirectoryEntry
from pebblehinge.settings import SettingsError
from pebblehinge.settings.load import loads


@pytest.mark.parametrize("version", [27, 28, 29, 30, 31])
@pytest.mark.parametrize("how", ["plain", "deflated", "sums", "old sums"])
def test_a_tree_goes_up_and_comes_back(version: int, how: str) -> None:
    more: dict[str, Any] = {"version": version, "compress": how == "deflated", "checksum": how == "sums"}
    more["able"] = "LsfxC" if how == "old sums" else "LsfxCIvu"

    async def script(t: Town) -> None:
        got = await t.push(TREE, "x/y/", **more)
        assert (got.code, got.said) == (0, []), got
        assert await stands(t, "x/y/", "h2") == held(TREE)  # another head sees what the shelfs hold
        again = await t.push(TREE, "x/y/", **more)
        assert again.code == 0 and again.moved == []  # nothing differs
        changed = dict(TREE)
        changed[b"a/big"] = Local(BIG[:90_000] + b"!" + BIG[90_000:], 1_700_000_500)
        delta = await t.push(changed, "x/y/", **more)
        assert delta.moved == [b"a/big"] and delta.literal < 2000 and delta.matched > 290_000
        back = await t.pull("x/y/", files={b"a/big": Local(BIG)}, **more)
        assert held(back.files) == held(changed) and back.literal < 20_000
        assert [stat.S_IMODE(back.files[n].mode) for n in (b"a", b"empty")] == [0o755, 0o644]

    in_town(script)


def test_what_a_client_may_see_and_do() -> None:
    async def script(t: Town) -> None:
        got = await t.call("modules", Call())
        # `kept` is not for this address
        assert got.code == 0 and got.lines == ["tenders        \tTender folders"]
        for wanted, code, why in [
            (Call("nothing"), EXIT_START, "Unknown module 'nothing'"),
            (Call("kept"), EXIT_START, "Unknown module 'kept'"),
            (Call("tenders", extra=["--files-from=-"]), 4, "--files-from is declined"),
            (Call("tenders", extra=["-H"]), 4, "hard links are not kept"),
        ]:
            got = await t.call("pull", wanted)
            assert (got.code, why in got.error) == (code, True), (got.code, got.error)
        got = await t.pull("not/there")
        assert got.code == EXIT_PARTIAL and "No such file" in got.said[0][1]
        for path in ("../x", "a/../../x"):
            got = await t.pull(path)
            assert got.code != 0 and "`..`" in got.error, got

    in_town(script)


def test_users_secrets_and_modules_that_are_read_only() -> None:
    opened = SETTINGS.replace("    allow 10.1.0.0/16 127.0.0.0/8\n", "")

    async def script(t: Town) -> None:
        for user, secret, version, code in [
            ("ana", b"s3cret", 31, 0),
            ("ana", b"s3cret", 30, 0),
            ("ana", b"s3cret", 29, 0),
            ("ana", b"wrong", 31, EXIT_START),
            ("eva", b"s3cret", 30, EXIT_START),
        ]:
            got = await t.call("pull", Call("kept", version=version, user=user, secret=secret))
            assert got.code == code, (user, version, got.error)
            assert code == 0 or "auth failed" in got.error
        got = await t.call("push", Call("kept", user="ana", secret=b"s3cret", files=dict(TREE)))
        assert got.code == EXIT_SYNTAX and "read only" in got.error

    in_town(script, settings=opened)


def test_bad_settings_of_modules_are_told_all_at_once() -> None:
    bad = SETTINGS.replace("volume files\n    read copy-read", "volume other\n    read bid-save", 1)
    bad = bad.replace("users ana", "users ana eva").replace("allow 10.1.0.0/16", "allow 10.1.0.0/99")
    bad = bad.replace("block 16KiB", "block 2MiB").replace("secret s3cret", "")
    with pytest.raises(SettingsError) as raised:
        loads(bad)
    text = str(raised.value)
    for part in (
        "volume 'other' is not there",
        "'bid-save' is irreversible",
        "user 'eva'",
        "'10.1.0.0/99'",
        "2097152 bytes",
        "either secret WORD",
    ):
        assert part in text, (part, text)


def test_links_names_and_files_that_are_refused_alone() -> None:
    async def script(t: Town) -> None:
        files = dict(TREE)
        files[b"huge"] = Local(b"", zeros=65 << 20)  # 64 MiB are taken
        files[b"pipe"] = Local(b"", mode=stat.S_IFIFO | 0o644)
        got = await t.push(files)
        assert got.code == EXIT_PARTIAL and any("huge" in s and "at most" in s for _, s in got.said), got
        assert any("skipping non-regular file" in s for _, s in got.said)
        assert await stands(t) == held(TREE)
        got = await t.push({b"a": Local(b"now a file")})
        assert got.code == EXIT_PARTIAL and "directory stands" in got.said[0][1]
        got = await t.push({b"empty": folder(), b"empty/x": Local(b"1")})
        assert got.code == EXIT_PARTIAL
        assert await stands(t) == held(TREE)

    in_town(script)


def test_one_file_goes_to_a_name_of_its_own_or_into_a_directory() -> None:
    async def script(t: Town) -> None:
        assert (await t.push({b"f": Local(b"1")}, "new/name")).code == 0
        assert await stands(t, "new/name") == {b"name": b"1"}
        assert (await t.push({b"f": Local(b"2")}, "new/")).code == 0
        assert await stands(t, "new/") == {b".": b"", b"f": b"2", b"name": b"1"}
        assert await stands(t, "new") == {b"new": b"", b"new/f": b"2", b"new/name": b"1"}

    in_town(script)


def test_deleting_keeps_what_is_excluded_and_stops_at_its_limit() -> None:
    async def script(t: Town) -> None:
        files = {b".": folder(), b"d": folder(), b"d/x": Local(b"1"), b"k.log": Local(b"2"), b"y": Local(b"3")}
        files[b"z"] = Local(b"")
        assert (await t.push(files)).code == 0
        less = {b".": folder(), b"z": Local(b"")}
        got = await t.push(less, delete=True, extra=["--max-delete=1"])
        assert got.code == EXIT_DELETE_LIMIT and len([s for _, s in got.said if s.startswith("deleting")]) == 1
        got = await t.push(less, delete=True, filters=[b"- *.log"])
        assert got.code == 0
        assert sorted(await stands(t)) == [b".", b"k.log", b"z"]
        got = await t.push(less, delete=True, extra=["-n"])
        assert got.code == 0 and len(await stands(t)) == 3
        got = await t.push(less, delete=True)
        assert sorted(await stands(t)) == [b".", b"z"]

    in_town(script)


def test_files_that_change_their_length_and_sparse_ones() -> None:
    async def script(t: Town) -> None:
        for n, size in enumerate([0, 1, 2048, 2049, 16384, 16385, 100_000, 5, 0, 70_000]):
            got = await t.push({b"f": Local(BIG[:size], 1_700_000_000 + n)})
            assert got.code == 0, got
            assert (await stands(t))[b"f"] == BIG[:size]
        before = sum(len(x) for c in t.contents.values() for x in c.extents.values())
        got = await t.push({b"sparse": Local(b"head", zeros=40 << 20)})
        assert got.code == 0
        after = sum(len(x) for c in t.contents.values() for x in c.extents.values())
        assert after - before < 100_000  # holes are not stored
        back = await t.pull("sparse")
        assert back.files[b"sparse"].data == b"head" + bytes(40 << 20)

    in_town(script)


@pytest.mark.parametrize("version", [28, 31])
@pytest.mark.parametrize("extra", ["-m", "--delete-excluded"])
def test_a_push_whose_filters_come_or_do_not_come_first(extra: str, version: int) -> None:
    """With -m they come though nothing is deleted; with --delete-excluded not before version 29. Read or not read
    wrongly, all that follows would be taken for something else."""

    async def script(t: Town) -> None:
        files = {**TREE, b"none": folder(), b"none/deeper": folder()}
        got = await t.push(files, version=version, extra=[extra], filters=[b"- *.tmp"])
        assert got.code == 0, got
        assert await stands(t) == held(TREE if extra == "-m" else files)

    in_town(script)


def test_a_place_that_appends_again_without_a_look_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    async def commit(self: ModuleStore, path: bytes, entry: DirectoryEntry) -> bool:
        return True  # says so, and saves nothing

    monkeypatch.setattr(Transfer, "commit", commit)
    with pytest.raises(AssertionError):
        test_a_tree_goes_up_and_comes_back(31, "plain")
