"""The console: what it shows, whom it serves, and that no request waits for it; and the reasons that answers name."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp
import pytest
from helpers import FLEET, LOOPBACK, Rig, on_rig, until

from pebblehinge.console import Console
from pebblehinge.console import server as console_server
from pebblehinge.wait_accounting import WaitAccounting

ADDRESS = f"{LOOPBACK}:7300"
URL = f"http://{ADDRESS}"
LOOK = {"request_class": "look", "units": 1.0, "timeout_ms": 1500.0}


def run_with_console(script: Any, more: str = "", token: str = "") -> None:
    async def main(rig: Rig) -> None:
        console = Console(rig.head, ADDRESS, token)
        await console.start()
        try:
            async with aiohttp.ClientSession() as session:
                await script(rig, console, session)
        finally:
            await console.stop()

    on_rig(main, more)


async def events(session: aiohttp.ClientSession, count: int) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = []
    async with session.get(URL + "/events") as response:
        assert response.headers["Content-Type"] == "text/event-stream"
        async for line in response.content:
            if line.startswith(b"data: "):
                found.append(json.loads(line[6:]))
                if len(found) == count:
                    break
    return found


def test_the_state_shows_what_happens_and_why() -> None:
    async def script(rig: Rig, console: Console, session: aiohttp.ClientSession) -> None:
        assert "accounts yes" in await (await session.get(URL + "/why/v")).text()
        rig.head.core.wait_accounting = WaitAccounting()
        client = await rig.client()
        assert (await client.read("v", "x", 1, slot=0, **LOOK)).succeeded
        got = await client.read("v", "x", 1, slot=9, **LOOK)
        assert got.status == "pushed back" and got.reason == "its shelf is not listed"
        state = json.loads(await (await session.get(URL + "/state")).read())
        assert state["counts"]["honoured"] == 1 and state["refused_because"] == {"its shelf is not listed": 1}
        assert [(s["name"], s["health"]) for s in state["shelfs"]] == [("s1", "well"), ("s2", "well")]
        assert [v["name"] for v in state["volumes"]] == ["v"]
        rig.shelfs[0].crash()
        await until(lambda: rig.head.links["s1"].connection is None)
        for _ in range(3):
            await client.read("v", "x", 1, slot=0, **LOOK)
        got = json.loads(await (await session.get(URL + "/shelf/s1")).read())
        assert got["health"] == "down" and "connections fail" in got["why"]
        assert (await session.get(URL + "/shelf/nobody")).status == 404
        said = await (await session.get(URL + "/why/v")).text()
        assert said.startswith("volume v: ") and "its own work at its shelfs" in said
        assert (await session.get(URL + "/why/nobody")).status == 404
        assert json.loads(await (await session.get(URL + "/volume/v")).read())["plan"] == "gold"

    run_with_console(script)


def test_events_come_live_and_say_what_changed() -> None:
    async def script(rig: Rig, console: Console, session: aiohttp.ClientSession) -> None:
        task = asyncio.ensure_future(events(session, 6))
        await until(lambda: console.viewers)
        client = await rig.client()
        await asyncio.sleep(0.6)
        rig.shelfs[1].crash()
        for _ in range(8):
            await client.read("v", "x", 1, slot=1, **LOOK)
            await asyncio.sleep(0.05)
        found = await asyncio.wait_for(task, 10.0)
        assert found[-1]["now_ms"] > found[0]["now_ms"]
        assert any("s2: well to down" in text for _, _, text in found[-1]["events"])
        await until(lambda: not console.viewers)

    run_with_console(script)


def test_the_page_is_whole_and_only_for_who_may_see_it() -> None:
    async def script(rig: Rig, console: Console, session: aiohttp.ClientSession) -> None:
        for path in ("/", "/state", "/events", "/shelf/s1"):
            assert (await session.get(URL + path)).status == 401
        page = await session.get(URL + "/", headers={"Authorization": "Bearer secret"})
        text = await page.text()
        assert page.status == 200 and "default-src 'self'" in page.headers["Content-Security-Policy"]
        assert "http" not in text.replace("http-equiv", "") and "/static/console.js" in text  # nothing from outside
        for asset in ("console.js", "console.css"):
            assert (await session.get(f"{URL}/static/{asset}")).status == 200
        assert (await session.get(URL + "/?token=wrong")).status == 401

    run_with_console(script, token="secret")


def test_a_viewer_that_does_not_read_is_dropped_and_too_many_are_turned_away(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(console_server, "REFRESH_INTERVAL_MS", 5.0)
    monkeypatch.setattr(console_server, "MAX_VIEWERS", 3)

    async def script(rig: Rig, console: Console, session: aiohttp.ClientSession) -> None:
        monkeypatch.setattr(console.view, "snapshot", lambda: {"fill": "x" * 30_000})
        host, port = ADDRESS.split(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
        writer.write(b"GET /events HTTP/1.1\r\nHost: x\r\n\r\n")
        await until(lambda: console.dropped_viewers == 1, 20.0)
        writer.close()
        watching = [await session.get(URL + "/events") for _ in range(3)]
        assert (await session.get(URL + "/events")).status == 503
        for response in watching:
            response.close()

    run_with_console(script)


def test_two_hundred_viewers_hold_up_no_request() -> None:
    """Against the same requests with nobody watching, in one run; the bound is wide, since machines differ."""

    async def script(rig: Rig, console: Console, session: aiohttp.ClientSession) -> None:
        client = await rig.client()

        async def asked() -> float:
            took = []
            for n in range(300):
                got = await client.read("v", f"x{n}", 1, slot=n % 2, **LOOK)
                assert got.succeeded
                took.append(got.duration_ms)
                await asyncio.sleep(0.004)
            return sorted(took)[len(took) * 95 // 100]

        alone = await asked()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as many:
            watching = [await many.get(URL + "/events") for _ in range(200)]
            assert len(console.viewers) == 200
            beside = await asked()
            for response in watching:
                response.close()
        # Viewers and requests share this test's one process, too.
        assert beside < 5 * alone + 20.0, (alone, beside)

    run_with_console(script)


@pytest.mark.parametrize("why, volume, patience, units", [("its plan's limit", "c", 300.0, 6.0)])
def test_refusals_name_what_they_waited_for(why: str, volume: str, patience: float, units: float) -> None:
    async def script(rig: Rig) -> None:
        client = await rig.client()
        more = {"request_class": "look", "slot": 0, "units": units, "timeout_ms": patience}
        ends = [await client.read(volume, f"x{n}", 1, **more) for n in range(4)]
        assert any(why in e.reason for e in ends if e.status == "pushed back"), [e.reason for e in ends]
        assert set(rig.head.core.reason_counts) and sum(rig.head.core.reason_counts.values()) == sum(
            not e.succeeded for e in ends
        )

    on_rig(script, "", FLEET)
