"""Tests that disk writes don't block a gateway's event loop, and that no version is acknowledged before its write."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import uvloop
from test_faults_in_memory import STRUCK

from pebblehinge.lab.in_memory_logs import WarningLog
from pebblehinge.lab.virtual import VirtualLoop
from pebblehinge.replicated_config.application_types import Grant
from pebblehinge.replicated_config.config_watcher import ConfigWatcher
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings import render_settings
from pebblehinge.store.background import run_inline, thread_runner
from pebblehinge.wire import Kind

SETTINGS_TEXT = "\n".join(render_settings(STRUCK)) + "\n"


class FakeConnection:
    """A watcher's connection to a member; records the renewals that are sent."""

    def __init__(self) -> None:
        self.renewals: list[tuple[Any, ...]] = []

    def send(self, kind: Kind, *values: Any) -> None:
        assert kind is Kind.RENEW
        self.renewals.append(values)

    def close(self) -> None:
        raise AssertionError("the watcher closed its connection")


class Rig:
    """A watcher whose writes to disk end when the test says so."""

    def __init__(self) -> None:
        self.loop = VirtualLoop(seed=1)
        machine = self.loop.node("h1")
        self.pending_writes: list[tuple[Callable[[], Any], Callable[[BaseException | None], None]]] = []
        self.adoptions: list[tuple[float, str]] = []  # the limit of plan basico, and the mode
        self.persisted_versions: list[bytes] = []
        self.log = WarningLog()
        self.watcher = ConfigWatcher(
            machine,
            lambda: machine.time() * 1000.0,
            STRUCK,
            VersionApplication("h1", 0.2),
            lambda config, mode: self.adoptions.append((config.plan["basico"].limit, mode)),
            self.persisted_versions.append,
            self.log,
            lambda call, on_completion: self.pending_writes.append((call, on_completion)),
        )
        self.connection = FakeConnection()
        self.watcher.connection = self.connection  # type: ignore[assignment]

    def grant(self, active: int, text: str, lease_ms: float = 60_000.0) -> None:
        self.watcher.renew()
        self.watcher.on_grant(Grant(self.connection.renewals[-1][0], lease_ms, active, text, 0, "", {}, ""))

    def finish_write(self, error: OSError | None = None) -> None:
        call, on_completion = self.pending_writes.pop(0)
        if error is None:
            call()
        on_completion(error)

    def renew_and_get_acknowledgement(self) -> int:
        self.watcher.renew()
        return self.connection.renewals[-1][2]


def test_a_version_is_applied_and_acknowledged_only_once_it_is_persisted() -> None:
    """Guards against syncing a version inside the event loop.

    24 gateways on one disk all synced a version at once, which blocked each loop for 1 to 2.3 s: no bytes were moved,
    connections were closed by both sides, and 306 requests were lost.
    """
    rig = Rig()
    rig.grant(1, SETTINGS_TEXT)
    assert (
        rig.adoptions == []
        and rig.persisted_versions == []
        and rig.renew_and_get_acknowledgement() == 0
        and len(rig.pending_writes) == 1
    )
    rig.grant(1, SETTINGS_TEXT)  # answers the next renewal, while the write is in flight
    assert len(rig.pending_writes) == 1
    rig.finish_write()
    assert (
        rig.adoptions == [(50.0, "active")]
        and rig.renew_and_get_acknowledgement() == 1
        and len(rig.persisted_versions) == 1
    )
    rig.grant(2, SETTINGS_TEXT.replace("limit 50/s", "limit 20/s"))
    assert rig.adoptions[-1] == (50.0, "active") and rig.renew_and_get_acknowledgement() == 1
    rig.finish_write()
    assert rig.adoptions[-1] == (20.0, "active") and rig.renew_and_get_acknowledgement() == 2
    assert VersionApplication.restore("h1", 0.2, rig.persisted_versions[-1]).active == 2


def test_a_failing_write_is_logged_once_and_retried_with_each_renewal() -> None:
    rig = Rig()
    for _ in range(3):
        rig.grant(1, SETTINGS_TEXT)
        rig.finish_write(OSError(28, "No space left on device"))
    assert len(rig.log.lines) == 1 and rig.adoptions == [] and rig.renew_and_get_acknowledgement() == 0
    rig.grant(1, SETTINGS_TEXT)
    rig.finish_write()
    assert rig.adoptions == [(50.0, "active")] and rig.renew_and_get_acknowledgement() == 1


def test_a_watcher_that_is_closed_during_a_write_applies_nothing() -> None:
    rig = Rig()
    rig.grant(1, SETTINGS_TEXT)
    rig.watcher.connection = None
    rig.watcher.close()
    rig.finish_write()
    assert rig.adoptions == []


def test_the_event_loop_runs_while_a_thread_writes() -> None:
    outcomes: list[Any] = []
    thread_names: list[str] = []

    def slow_write() -> None:
        thread_names.append(threading.current_thread().name)
        time.sleep(0.3)

    def failing_write() -> None:
        raise OSError(5, "Input/output error")

    async def script() -> None:
        loop, iterations = asyncio.get_running_loop(), 0
        run_in_background = thread_runner(loop)
        run_in_background(slow_write, outcomes.append)
        while not outcomes:
            iterations += 1
            await asyncio.sleep(0.01)
        assert iterations > 5
        run_in_background(failing_write, outcomes.append)
        while len(outcomes) < 2:
            await asyncio.sleep(0.01)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(script())
    assert outcomes[0] is None and "Input/output error" in str(outcomes[1])
    assert thread_names != [threading.current_thread().name]
    run_inline(failing_write, outcomes.append)
    run_inline(lambda: None, outcomes.append)
    assert isinstance(outcomes[2], OSError) and outcomes[3] is None


def test_the_last_snapshot_of_an_incarnation_is_written_last(tmp_path: Path) -> None:
    """Guards against an older snapshot that replaces the last one.

    The last snapshot is written in the loop, while a thread may still be writing the one before it.
    """
    from pebblehinge.gateway.snapshots import SnapshotManager

    disk_events: list[str] = []

    class SlowDisk:
        def replace(self, name: str, data: bytes) -> None:
            disk_events.append("begins")
            time.sleep(0.1)
            disk_events.append("ends")

    class FakeContext:
        config, gateway_settings, name, log = STRUCK, STRUCK.head["h1"], "h1", WarningLog()

        class core:  # noqa: N801
            class scheduler:  # noqa: N801
                @staticmethod
                def snapshot(now: float) -> dict[str, Any]:
                    return {"shelfs": {}, "lives": {}, "every": [0.0] * 4, "thinks": {}, "limits": {}, "further": []}

        @staticmethod
        def clock() -> float:
            return 0.0

    threads: list[threading.Thread] = []

    def run_in_background(call: Callable[[], Any], on_completion: Any) -> None:
        threads.append(threading.Thread(target=run_inline, args=(call, on_completion)))
        threads[-1].start()

    keeper = SnapshotManager(FakeContext(), SlowDisk(), lambda: (1.0, 1.0, "b"), run_in_background)  # type: ignore[arg-type]
    keeper.save()
    time.sleep(0.02)
    keeper.save(complete=True)
    threads[0].join()
    assert disk_events == ["begins", "ends"] * 2 and not FakeContext.log.lines
