"""What waits for a disk does not hold a head's loop, and nothing is acknowledged before it lasts."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import uvloop
from test_faults_in_memory import STRUCK

from pebblehinge.lab.quiet import Quiet
from pebblehinge.lab.virtual import VirtualLoop
from pebblehinge.replicated_config.application_types import Grant
from pebblehinge.replicated_config.config_watcher import ConfigWatcher
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings import show
from pebblehinge.store.background import run_inline, thread_runner
from pebblehinge.wire import Kind

TEXT = "\n".join(show(STRUCK)) + "\n"


class Wire:
    """Stands where the connection to an instance is."""

    def __init__(self) -> None:
        self.renewals: list[tuple[Any, ...]] = []

    def send(self, kind: Kind, *values: Any) -> None:
        assert kind is Kind.RENEW
        self.renewals.append(values)

    def close(self) -> None:
        raise AssertionError("there was no reason to close")


class Rig:
    """A watcher whose disk takes as long as the test wants."""

    def __init__(self) -> None:
        self.world = VirtualLoop(seed=1)
        node = self.world.node("h1")
        self.waiting: list[tuple[Callable[[], Any], Callable[[BaseException | None], None]]] = []
        self.adopted: list[tuple[float, str]] = []
        self.kept: list[bytes] = []
        self.log = Quiet()
        self.watcher = ConfigWatcher(
            node,
            lambda: node.time() * 1000.0,
            STRUCK,
            VersionApplication("h1", 0.2),
            lambda config, mode: self.adopted.append((config.plan["basico"].limit, mode)),
            self.kept.append,
            self.log,
            lambda call, done: self.waiting.append((call, done)),
        )
        self.wire = Wire()
        self.watcher.connection = self.wire  # type: ignore[assignment]

    def grant(self, active: int, text: str, lease_ms: float = 60_000.0) -> None:
        self.watcher.renew()
        self.watcher.on_grant(Grant(self.wire.renewals[-1][0], lease_ms, active, text, 0, "", {}, ""))

    def disk(self, error: OSError | None = None) -> None:
        call, done = self.waiting.pop(0)
        if error is None:
            call()
        done(error)

    def acknowledges(self) -> int:
        self.watcher.renew()
        return self.wire.renewals[-1][2]


def test_a_version_is_acted_on_and_acknowledged_when_it_lasts_and_not_before() -> None:
    """Seen with 24 heads on one disk: each took up a version at once and waited 1 to 2.3 s for its sync inside the
    loop; no bytes moved meanwhile, connections were cut on both sides, 306 requests lost."""
    rig = Rig()
    rig.grant(1, TEXT)
    assert rig.adopted == [] and rig.kept == [] and rig.acknowledges() == 0 and len(rig.waiting) == 1
    rig.grant(1, TEXT)  # the next renewal's answer: one write is on its way already
    assert len(rig.waiting) == 1
    rig.disk()
    assert rig.adopted == [(50.0, "active")] and rig.acknowledges() == 1 and len(rig.kept) == 1
    rig.grant(2, TEXT.replace("limit 50/s", "limit 20/s"))
    assert rig.adopted[-1] == (50.0, "active") and rig.acknowledges() == 1
    rig.disk()
    assert rig.adopted[-1] == (20.0, "active") and rig.acknowledges() == 2
    assert VersionApplication.restore("h1", 0.2, rig.kept[-1]).active == 2


def test_what_a_disk_refused_is_told_once_and_tried_with_each_renewal() -> None:
    rig = Rig()
    for _ in range(3):
        rig.grant(1, TEXT)
        rig.disk(OSError(28, "No space left on device"))
    assert len(rig.log.lines) == 1 and rig.adopted == [] and rig.acknowledges() == 0
    rig.grant(1, TEXT)
    rig.disk()
    assert rig.adopted == [(50.0, "active")] and rig.acknowledges() == 1


def test_a_feed_that_closed_meanwhile_takes_nothing_up() -> None:
    rig = Rig()
    rig.grant(1, TEXT)
    rig.watcher.connection = None
    rig.watcher.close()
    rig.disk()
    assert rig.adopted == []


def test_the_loop_goes_on_while_a_disk_takes_its_time() -> None:
    told: list[Any] = []
    threads: list[str] = []

    def slow() -> None:
        threads.append(threading.current_thread().name)
        time.sleep(0.3)

    def bad() -> None:
        raise OSError(5, "Input/output error")

    async def script() -> None:
        loop, turns = asyncio.get_running_loop(), 0
        beside = thread_runner(loop)
        beside(slow, told.append)
        while not told:
            turns += 1
            await asyncio.sleep(0.01)
        assert turns > 5
        beside(bad, told.append)
        while len(told) < 2:
            await asyncio.sleep(0.01)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(script())
    assert told[0] is None and "Input/output error" in str(told[1])
    assert threads != [threading.current_thread().name]
    run_inline(bad, told.append)
    run_inline(lambda: None, told.append)
    assert isinstance(told[2], OSError) and told[3] is None


def test_the_last_memory_of_a_life_is_the_one_that_stays(tmp_path: Path) -> None:
    """It is written at the end, in the loop; one of before may still be on its way in a thread."""
    from pebblehinge.gateway.snapshots import SnapshotManager

    order: list[str] = []

    class Disk:
        def replace(self, name: str, data: bytes) -> None:
            order.append("begins")
            time.sleep(0.1)
            order.append("ends")

    class House:
        config, gateway_settings, name, log = STRUCK, STRUCK.head["h1"], "h1", Quiet()

        class core:  # noqa: N801
            class scheduler:  # noqa: N801
                @staticmethod
                def snapshot(now: float) -> dict[str, Any]:
                    return {"shelfs": {}, "lives": {}, "every": [0.0] * 4, "thinks": {}, "limits": {}, "further": []}

        @staticmethod
        def clock() -> float:
            return 0.0

    threads: list[threading.Thread] = []

    def beside(call: Callable[[], Any], done: Any) -> None:
        threads.append(threading.Thread(target=run_inline, args=(call, done)))
        threads[-1].start()

    keeper = SnapshotManager(House(), Disk(), lambda: (1.0, 1.0, "b"), beside)  # type: ignore[arg-type]
    keeper.save()
    time.sleep(0.02)
    keeper.save(complete=True)
    threads[0].join()
    assert order == ["begins", "ends"] * 2 and not House.log.lines
