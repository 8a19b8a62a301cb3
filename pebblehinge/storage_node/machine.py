"""Model of a storage node's machine in time, without sockets or a clock of its own. Its times are not measurements.

Work is counted in milliseconds of one core at speed 1. All cores work at the same rate, which changes with the warm-up,
pauses and faults, so a single running sum of the work done by each core decides when a job ends. `advance(now_ms)`
simulates up to a time and returns the jobs that ended; `next_event_ms()` returns when to call it again.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from typing import Generic

from pebblehinge.settings.policy import RulesBlock
from pebblehinge.settings.schema import KindBlock
from pebblehinge.storage_node.cold_budget import ColdBudget
from pebblehinge.storage_node.faults import MachineFaults
from pebblehinge.storage_node.job import Job, Owner, RunningWork

RATE_STEP_MS = 20.0
"""The longest step during which a continuously changing rate is treated as constant."""

ALWAYS_WARM_MS = -1e12
"""Start of the warm-up of a machine that has been running for a long time."""

MAX_DUPLICATE_WORK_MS = 0.1
"""Maximum work of a duplicate of an applied write."""

COLD_SLACK_REQUESTS = 2.0
"""Work beyond its budget that a cold machine tolerates, in requests of the largest size."""

WORK_TOLERANCE_MS = 1e-9
"""Rounding error that is tolerated in a sum of work."""

JITTER_RANGE = (0.8, 1.2)
"""Range of the random factor of an interval."""

NEVER_MS = float("inf")


class Machine(Generic[Owner]):
    """Machine with cores, a FIFO queue, a cache of extents, flushes, pauses and a warm-up.

    Args:
        kind: The settings of this kind of machine.
        rules: The settings with the limits on the load of a cold machine.
        rng: Source of the speed, the work of jobs, and intervals.
        now_ms: The current time in milliseconds.
        is_warm: Whether the machine has been running for a long time; otherwise it starts now and warms up.

    Attributes:
        has_crashed: Whether too much work arrived while the machine was cold; a crashed machine does nothing.
    """

    def __init__(self, kind: KindBlock, rules: RulesBlock, rng: random.Random, now_ms: float, is_warm: bool) -> None:
        self.kind = kind
        self.rules = rules
        self.rng = rng
        self.now_ms = now_ms
        self.started_ms = now_ms
        self.warming_since_ms = ALWAYS_WARM_MS if is_warm else now_ms
        self.speed = rng.uniform(*kind.speed)
        self.faults = MachineFaults()
        self.queue: deque[Job[Owner]] = deque()
        self.running: list[RunningWork[Owner]] = []  # a heap
        self.work_done_ms = 0.0  # work that each core has done since the start
        self.cached_extents: deque[str] = deque(maxlen=kind.remembers or None)
        self.deferred_ms = 0.0  # work of writes, deferred until the next flush
        self.next_flush_ms = now_ms + rng.uniform(0.5, 1.0) * kind.flush
        self.paused_until_ms = 0.0
        self.next_pause_ms = now_ms + rng.uniform(0.2, 1.0) * kind.pause_every if kind.pause else NEVER_MS
        self.next_fault_pause_ms = NEVER_MS
        self.has_crashed = False
        self.cold_budget = ColdBudget(rules.fall_window)
        self._run_count = 0

    # ---- capacity

    def warm_up_fraction(self, now_ms: float) -> float:
        """Returns the share of the full speed that the machine has reached, 1 once it is warm."""
        kind = self.kind
        age_ms = now_ms - self.warming_since_ms
        return min(1.0, kind.cold_from + (1.0 - kind.cold_from) * age_ms / max(1.0, kind.cold))

    def capacity(self, now_ms: float) -> float:
        """Returns the work of all cores per millisecond, without faults and load."""
        return self.kind.cores * self.speed * self.warm_up_fraction(now_ms)

    def rate(self, now_ms: float) -> float:
        """Returns the work of one core per millisecond."""
        faults = self.faults
        if self.has_crashed or faults.is_hung or now_ms < self.paused_until_ms:
            return 0.0
        rate = self.speed * self.warm_up_fraction(now_ms) / faults.slowdown
        if faults.neighbor_share and int(now_ms / max(1.0, faults.neighbor_period_ms)) % 2 == 0:
            rate *= 1.0 - faults.neighbor_share
        occupancy = (len(self.queue) + len(self.running)) / max(1, self.kind.cores * self.kind.slots)
        if occupancy > 1.0:
            rate /= 1.0 + self.kind.thrash * min(1.0, occupancy - 1.0)
        return rate

    # ---- jobs

    def submit(self, now_ms: float, job: Job[Owner]) -> bool:
        """Queues a job; returns False if the queue is full or the machine has crashed, possibly due to this job."""
        kind = self.kind
        job.work_ms = self._draw_work(job)
        self._charge_cold_budget(now_ms, job.work_ms)
        queue_capacity = kind.queue * kind.cores + max(0, kind.cores - len(self.running))
        if self.has_crashed or len(self.queue) >= queue_capacity:
            return False
        if kind.remembers:
            if job.extent in self.cached_extents:
                self.cached_extents.remove(job.extent)
            self.cached_extents.append(job.extent)
        self.queue.append(job)
        return True

    def start_queued(self, now_ms: float) -> None:
        """Starts queued jobs on idle cores.

        A caller that submits several jobs together calls this after the last one, so that a job that was cancelled
        meanwhile is never started.
        """
        while self.queue and len(self.running) < self.kind.cores:
            job = self.queue.popleft()
            if job.is_cancelled or now_ms >= job.deadline_ms:
                continue
            job.has_started = True
            work_ms = job.work_ms
            if job.is_write:
                self.deferred_ms += work_ms * self.kind.defer
                work_ms *= 1.0 - self.kind.defer
            self._run(work_ms, job)

    def _draw_work(self, job: Job[Owner]) -> float:
        work_ms = job.units * self.kind.unit_work * self.rng.uniform(1.0 - self.kind.noise, 1.0 + self.kind.noise)
        if job.is_duplicate:
            return min(work_ms, MAX_DUPLICATE_WORK_MS)
        if job.extent in self.cached_extents and job.attempt_index == 0:
            work_ms *= 1.0 - self.kind.seek
        return work_ms

    def _charge_cold_budget(self, now_ms: float, work_ms: float) -> None:
        if self.has_crashed or self.warm_up_fraction(now_ms) >= 1.0:
            self.cold_budget.clear()
            return
        limit_ms = self.rules.fall_multiple * self.capacity(now_ms) * self.rules.fall_window
        limit_ms += COLD_SLACK_REQUESTS * self.rules.most_units * self.kind.unit_work
        if self.cold_budget.add(now_ms, work_ms, limit_ms):
            self.has_crashed = True
            self.queue.clear()
            self.running.clear()

    def _run(self, work_ms: float, job: Job[Owner] | None) -> None:
        self._run_count += 1
        heapq.heappush(self.running, RunningWork(self.work_done_ms + work_ms, self._run_count, job))

    # ---- time

    def advance(self, now_ms: float) -> list[Job[Owner]]:
        """Simulates the machine up to `now_ms`; returns the jobs that ended since the last call, in order."""
        ended_jobs: list[Job[Owner]] = []
        while True:
            step_end_ms = min(now_ms, self._next_change_ms())
            self.work_done_ms += self.rate(self.now_ms) * max(0.0, step_end_ms - self.now_ms)
            self.now_ms = max(self.now_ms, step_end_ms)
            while self.running and self.running[0].end_work_ms <= self.work_done_ms + WORK_TOLERANCE_MS:
                job = heapq.heappop(self.running).job
                if job is not None:
                    ended_jobs.append(job)
            self._begin_pauses_and_flush()
            self.start_queued(self.now_ms)
            if step_end_ms >= now_ms:
                return ended_jobs

    def next_event_ms(self) -> float:
        """Returns when to call `advance` next, in milliseconds; infinite if only a new job can change anything."""
        if not self.running or self.has_crashed:
            return NEVER_MS
        return self._next_change_ms()

    def set_faults(self, now_ms: float, faults: MachineFaults) -> list[Job[Owner]]:
        """Replaces the faults of the machine; returns the jobs that ended before that."""
        ended_jobs = self.advance(now_ms)
        self.faults = faults
        self.next_fault_pause_ms = NEVER_MS
        if faults.pause_ms:
            self.next_fault_pause_ms = now_ms + self.rng.uniform(0.1, 1.0) * faults.pause_interval_ms
        return ended_jobs

    def _next_change_ms(self) -> float:
        """Returns when a job ends, a pause begins or ends, a flush is due, or the rate must be computed again."""
        now_ms = self.now_ms
        change_ms = min(self.next_pause_ms, self.next_fault_pause_ms, self.next_flush_ms)
        if now_ms < self.paused_until_ms:
            change_ms = min(change_ms, self.paused_until_ms)
        rate = self.rate(now_ms)
        if self.running and rate > 0.0:
            change_ms = min(change_ms, now_ms + max(0.0, self.running[0].end_work_ms - self.work_done_ms) / rate)
        if self.running and (self.warm_up_fraction(now_ms) < 1.0 or self.faults.neighbor_share):
            change_ms = min(change_ms, now_ms + RATE_STEP_MS)
        return max(change_ms, now_ms)

    def _begin_pauses_and_flush(self) -> None:
        now_ms = self.now_ms
        kind = self.kind
        faults = self.faults
        if now_ms >= self.next_pause_ms:
            self.paused_until_ms = max(self.paused_until_ms, now_ms + kind.pause)
            self.next_pause_ms = now_ms + kind.pause_every * self.rng.uniform(*JITTER_RANGE) + kind.pause
        if now_ms >= self.next_fault_pause_ms:
            self.paused_until_ms = max(self.paused_until_ms, now_ms + faults.pause_ms)
            interval_ms = faults.pause_interval_ms * self.rng.uniform(*JITTER_RANGE) + faults.pause_ms
            self.next_fault_pause_ms = now_ms + interval_ms if faults.pause_ms else NEVER_MS
        if now_ms >= self.next_flush_ms:
            self.next_flush_ms = now_ms + kind.flush * self.rng.uniform(*JITTER_RANGE)
            if self.deferred_ms and not self.has_crashed:
                self._run(self.deferred_ms / kind.cores, None)
                self.deferred_ms = 0.0
