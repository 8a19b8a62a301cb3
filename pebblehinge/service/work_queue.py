"""Shares the event loop fairly between client connections that have bytes to parse and requests to handle.

Work is done in short steps. A connection with more work after its first step joins a backlog, which gets the time that
is left: a client that sends much delays the others by one step at the most, however many such clients there are.
"""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable
from enum import Enum
from typing import Protocol

SLICE_S = 0.005  # Time for steps in one turn of the event loop.


class StepResult(Enum):
    """What a connection needs after a step."""

    DONE = "done"
    MORE = "more"  # Another step.


class Worker(Protocol):
    """A connection with work in steps.

    Attributes:
        is_queued: Whether the connection is in the queue; the queue alone sets it.
    """

    is_queued: bool

    def step(self) -> StepResult:
        """Does a small part of the work."""


class WorkQueue:
    """The connections that wait for a step.

    Attributes:
        new: Connections before their first step.
        backlog: Connections that need further steps.
    """

    __slots__ = ("loop", "time", "new", "backlog", "_is_scheduled")

    def __init__(self, loop: asyncio.AbstractEventLoop, time_s: Callable[[], float] = time.monotonic) -> None:
        self.loop = loop
        self.time = time_s
        self.new: OrderedDict[Worker, None] = OrderedDict()
        self.backlog: OrderedDict[Worker, None] = OrderedDict()
        self._is_scheduled = False

    def add(self, worker: Worker) -> None:
        """Queues a connection for a step; does nothing if it is queued."""
        if not worker.is_queued:
            worker.is_queued = True
            self.new[worker] = None
            self._schedule()

    def discard(self, worker: Worker) -> None:
        """Removes a connection that has ended, so that the queue does not keep its memory."""
        worker.is_queued = False
        self.new.pop(worker, None)
        self.backlog.pop(worker, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        """Runs steps for SLICE_S, those of new connections first, but at least one of the backlog."""
        self._is_scheduled = False
        end_s = self.time() + SLICE_S
        if self.backlog:
            self._step(self.backlog.popitem(last=False)[0])
        while self.time() < end_s and (self.new or self.backlog):
            self._step((self.new or self.backlog).popitem(last=False)[0])
        if self.new or self.backlog:
            self._schedule()

    def _step(self, worker: Worker) -> None:
        if worker.step() is StepResult.MORE and worker.is_queued:
            self.backlog[worker] = None
        else:
            worker.is_queued = False
