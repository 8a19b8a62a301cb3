"""Console: its data, access to it, and its effect on requests; and the reasons of rejections, which it shows."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp
import pytest
from helpers import FLEET, LOOPBACK, Rig, run_with_rig, until

from pebblehinge.console import Console
from pebblehinge.console import server as console_server
from pebblehinge.wait_accounting import WaitAccounting

ADDRESS = f"{LOOPBACK}:7300"
URL = f"http://{ADDRESS}"
LOOK_OPTIONS = {"profile": "look", "units": 1.0, "patience_ms": 1500.0}


def run_with_console(script: Any, settings: str = "", token: str = "") -> None:
    """Runs a test script with a gateway, its console and an HTTP session."""

    async def main(rig: Rig) -> None:
        console = Console(rig.gateway, ADDRESS, token)
        await console.start()
        try:
            async with aiohttp.ClientSession() as session:
                await script(rig, console, session)
        finally:
            await console.stop()

    run_with_rig(main, settings)


async def read_snapshots(session: aiohttp.ClientSession, count: int) -> list[dict[str, Any]]:
    """Returns the first snapshots of the event stream."""
    snapshots: list[dict[str, Any]] = []
    async with session.get(URL + "/events") as response:
        assert response.headers["Content-Type"] == "text/event-stream"
        async for line in response.content:
            if line.startswith(b"data: "):
                snapshots.append(json.loads(line[6:]))
                if len(snapshots) == count:
                    break
    return snapshots


def test_state_and_reports_contain_counts_health_and_reasons() -> None:
    async def script(rig: Rig, console: Console, session: aiohttp.ClientSession) -> None:
        assert "accounts yes" in await (await session.get(URL + "/why/v")).text()
        rig.gateway.core.wait_accounting = WaitAccounting()
        client = await rig.client()
        assert (await client.read("v", "x", 1, slot=0, **LOOK_OPTIONS)).succeeded
        result = await client.read("v", "x", 1, slot=9, **LOOK_OPTIONS)
        assert result.final == "pushed back" and result.reason == "its shelf is not listed"
        state = json.loads(await (await session.get(URL + "/state")).read())
        assert state["counts"]["honoured"] == 1 and state["refused_because"] == {"its shelf is not listed": 1}
        assert [(node["name"], node["health"]) for node in state["shelfs"]] == [("s1", "well"), ("s2", "well")]
        assert [volume["name"] for volume in state["volumes"]] == ["v"]
        rig.nodes[0].crash()
        await until(lambda: rig.gateway.links["s1"].connection is None)
        for _ in range(3):
            await client.read("v", "x", 1, slot=0, **LOOK_OPTIONS)
        row = json.loads(await (await session.get(URL + "/shelf/s1")).read())
        assert row["health"] == "down" and "connections fail" in row["why"]
        assert (await session.get(URL + "/shelf/nobody")).status == 404
        report = await (await session.get(URL + "/why/v")).text()
        assert report.startswith("volume v: ") and "its own work at its shelfs" in report
        assert (await session.get(URL + "/why/nobody")).status == 404
        assert json.loads(await (await session.get(URL + "/volume/v")).read())["plan"] == "gold"

    run_with_console(script)


def test_event_stream_reports_a_change_of_health() -> None:
    async def script(rig: Rig, console: Console, session: aiohttp.ClientSession) -> None:
        task = asyncio.ensure_future(read_snapshots(session, 6))
        await until(lambda: console.viewers)
        client = await rig.client()
        await asyncio.sleep(0.6)
        rig.nodes[1].crash()
        for _ in range(8):
            await client.read("v", "x", 1, slot=1, **LOOK_OPTIONS)
            await asyncio.sleep(0.05)
        snapshots = await asyncio.wait_for(task, 10.0)
        assert snapshots[-1]["now_ms"] > snapshots[0]["now_ms"]
        assert any("s2: well to down" in text for _, _, text in snapshots[-1]["events"])
        await until(lambda: not console.viewers)

    run_with_console(script)


def test_page_is_self_contained_and_requires_the_token() -> None:
    async def script(rig: Rig, console: Console, session: aiohttp.ClientSession) -> None:
        for path in ("/", "/state", "/events", "/shelf/s1"):
            assert (await session.get(URL + path)).status == 401
        page = await session.get(URL + "/", headers={"Authorization": "Bearer secret"})
        text = await page.text()
        assert page.status == 200 and "default-src 'self'" in page.headers["Content-Security-Policy"]
        assert "http" not in text.replace("http-equiv", "") and "/static/console.js" in text  # no external resources
        for asset in ("console.js", "console.css"):
            assert (await session.get(f"{URL}/static/{asset}")).status == 200
        assert (await session.get(URL + "/?token=wrong")).status == 401

    run_with_console(script, token="secret")


def test_viewer_that_does_not_read_is_disconnected_and_excess_viewers_are_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(console_server, "REFRESH_INTERVAL_MS", 5.0)
    monkeypatch.setattr(console_server, "MAX_VIEWERS", 3)

    async def script(rig: Rig, console: Console, session: aiohttp.ClientSession) -> None:
        monkeypatch.setattr(console.view, "snapshot", lambda: {"fill": "x" * 30_000})
        host, port = ADDRESS.split(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
        writer.write(b"GET /events HTTP/1.1\r\nHost: x\r\n\r\n")
        await until(lambda: console.dropped_viewers == 1, 20.0)
        writer.close()
        responses = [await session.get(URL + "/events") for _ in range(3)]
        assert (await session.get(URL + "/events")).status == 503
        for response in responses:
            response.close()

    run_with_console(script)


def test_two_hundred_viewers_do_not_delay_requests() -> None:
    """Compares request latencies with and without viewers in one run. The bound is wide, since machines differ."""

    async def script(rig: Rig, console: Console, session: aiohttp.ClientSession) -> None:
        client = await rig.client()

        async def measure_p95_ms() -> float:
            durations_ms = []
            for n in range(300):
                result = await client.read("v", f"x{n}", 1, slot=n % 2, **LOOK_OPTIONS)
                assert result.succeeded
                durations_ms.append(result.took_ms)
                await asyncio.sleep(0.004)
            return sorted(durations_ms)[len(durations_ms) * 95 // 100]

        baseline_ms = await measure_p95_ms()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as viewer_session:
            responses = [await viewer_session.get(URL + "/events") for _ in range(200)]
            assert len(console.viewers) == 200
            loaded_ms = await measure_p95_ms()
            for response in responses:
                response.close()
        # Viewers, gateway and requests all run in the single process of this test.
        assert loaded_ms < 5 * baseline_ms + 20.0, (baseline_ms, loaded_ms)

    run_with_console(script)


@pytest.mark.parametrize("reason, volume, patience_ms, units", [("its plan's limit", "c", 300.0, 6.0)])
def test_rejections_name_the_reason_of_the_delay(reason: str, volume: str, patience_ms: float, units: float) -> None:
    async def script(rig: Rig) -> None:
        client = await rig.client()
        options = {"profile": "look", "slot": 0, "units": units, "patience_ms": patience_ms}
        results = [await client.read(volume, f"x{n}", 1, **options) for n in range(4)]
        assert any(reason in result.reason for result in results if result.final == "pushed back"), [
            result.reason for result in results
        ]
        assert set(rig.gateway.core.reason_counts) and sum(rig.gateway.core.reason_counts.values()) == sum(
            not result.succeeded for result in results
        )

    run_with_rig(script, "", FLEET)
