"""The loop of the adapter: turns batches of lines into calls on schedulers, and what these change into lines."""

from __future__ import annotations

from typing import Any, BinaryIO, TextIO

from pebblehinge.decide import Request, Scheduler
from pebblehinge.interface import Changes, Entry, Handle, ListKind
from pebblehinge.wirehost import codec
from pebblehinge.wirehost.codec import Message, WireError

EXIT_WIRE_ERROR = 2


class Instance:
    """One gateway of this process: its scheduler, and the requests that may still get events."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.requests: dict[int, Request] = {}
        self.wake_ms: float | None = None  # the earliest timer that is set
        self.timer = 0  # its cookie

    def call(self, message: Message, values: list[Any], now: float, lists: dict[int, list[Entry]]) -> Changes | None:
        """Passes a message to the scheduler.

        Args:
            message: any but those that the process handles itself.
            values: its fields, as `codec.read_line` gives them.
            now: clock, ms.
            lists: the endpoint lists of the wire, by number.

        Returns:
            What it changed; None if the scheduler was not called.

        Raises:
            WireError: the message names something that is not there.
        """
        if message is Message.ARRIVAL:
            return self._take(values, now)
        if message is Message.SYNC:
            return self._update_nodes(values, now, lists)
        if message is Message.TICK_DUE:
            if values[0] == self.timer:  # any other was replaced by an earlier one
                self.wake_ms = None
            return self.scheduler.woken(now)
        if message in (Message.VERDICT, Message.HEADERS, Message.HANGUP):
            return self._call_request(message, values, now)
        return None  # the scheduler sends no health checks and has no peers

    def _take(self, values: list[Any], now: float) -> Changes:
        scheduler = self.scheduler
        tid, extent, request_class, quota_plan, options, set_size, slot, units, volume, deadline_ms = values
        for field, name, known in (
            ("tier_class", request_class, list(scheduler.settings.request_classes)),
            ("tier", quota_plan, list(scheduler.settings.quota_plans)),
        ):
            if name not in known:
                raise WireError(f"ARRIVAL: {field} is {name!r}: expected one of {', '.join(known)}")
        repeat = bool(options & codec.RETRY_BIT) if scheduler.settings.current.marks_repeats else None
        request, changes = scheduler.take(
            now, tid, extent, request_class, quota_plan, volume, set_size, slot, units, deadline_ms, repeat
        )
        self.requests[tid] = request
        return changes

    def _update_nodes(self, values: list[Any], now: float, lists: dict[int, list[Entry]]) -> Changes:
        ref, _, kind = values
        if kind is ListKind.FAILED:
            return self.scheduler.listed(now, kind, [])
        if ref not in lists:
            raise WireError(f"SYNC: ref is {ref}: expected the number of a MANIFEST that came before")
        return self.scheduler.listed(now, kind, lists[ref])

    def _call_request(self, message: Message, values: list[Any], now: float) -> Changes | None:
        request = self.requests.get(values[0])
        if request is None:
            return None  # over already, and nothing of it is in flight
        if message is Message.VERDICT:
            _, attempt, _, outcome, over, _, _, took_ms, _ = values
            changes = request.ended(now, attempt, outcome, over, took_ms)
        elif message is Message.HEADERS:
            changes = request.begun(now)
        else:
            changes = request.left(now)
        handle: Handle = request
        if request.over and not request.out and handle not in changes.handles:
            del self.requests[request.id]
        return changes

    def lines(self, changes: Changes, now: float) -> list[str]:
        """Returns the lines that say what a call changed, and forgets the requests that are over."""
        lines = []
        for request in changes.handles:
            attempts, cancellations, answer = request.drain()
            lines += [f"SUBMIT_TO {request.id} {sent.shelf} {codec.seconds(sent.until_ms)}" for sent in attempts]
            lines += [f"ABORT_ATTEMPT {request.id} {attempt}" for attempt in cancellations]
            if answer is not None:
                lines.append(codec.write_answer(request.id, answer.final, answer.stay_away_ms))
            if request.over and not request.out:
                self.requests.pop(request.id, None)
        lines += [codec.CALLS[call] for call in changes.list_calls]
        wake = changes.wake_ms
        if wake is not None and (self.wake_ms is None or wake < self.wake_ms):
            self.wake_ms = max(wake, now)
            self.timer += 1
            lines.append(f"TIMER {codec.seconds(self.wake_ms - now)} {self.timer}")
        return lines


class Process:
    """All gateways of this process. They share nothing but the numbered endpoint lists of the wire."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.lists: dict[int, list[Entry]] = {}
        self.clock = 0.0
        self.at: str | None = None  # the instance that the lines are addressed to
        self.reply: list[str] = []
        self.source: str | None = None  # the instance that the reply's lines come from
        self.open_list: tuple[list[Entry], int] | None = None  # the list that is being read, and its length

    def line(self, text: str) -> bool:
        """Takes one line, without its end; `reply` then holds the lines of the batch's answer so far.

        Returns:
            Whether it closes the batch.

        Raises:
            WireError: the line is not what the wire allows at this place.
        """
        message, values = codec.read_line(text)
        if self.open_list is not None:
            self._read_row(message, values)
        elif message is Message.BATCH:
            self.clock = values[0]
            self.at = None
            self.reply = []
            self.source = None
        elif message is Message.FOR:
            self.at = values[0]
        elif message is Message.MANIFEST:
            self.lists[values[0]] = []
            self.open_list = (self.lists[values[0]], values[1]) if values[1] else None
        elif message is Message.ROW:
            raise WireError("ROW outside a list: expected MANIFEST before it")
        elif message is not Message.GO:
            self._event(message, values)
        return message is Message.GO

    def _read_row(self, message: Message, values: list[Any]) -> None:
        assert self.open_list is not None
        entries, wanted = self.open_list
        if message is not Message.ROW:
            raise WireError(f"{message.value} after {len(entries)} entries of a list: expected {wanted} ROW lines")
        entries.append(codec.read_entry(values))
        if len(entries) == wanted:
            self.open_list = None

    def _event(self, message: Message, values: list[Any]) -> None:
        if self.at is None:
            raise WireError(f"{message.value} is addressed to no instance: expected FOR before it")
        now = self.clock
        if message is Message.HELLO:
            scheduler = Scheduler(codec.read_settings(values[1]), values[0], now)
            self.instances[self.at] = Instance(scheduler)
            self._write(self.instances[self.at].lines(scheduler.start(now), now))
            return
        if message is Message.DESTROY:
            self.instances.pop(self.at, None)
            return
        instance = self.instances.get(self.at)
        if instance is None:
            raise WireError(f"{message.value} for {self.at}, which has not started: expected HELLO before it")
        changes = instance.call(message, values, now, self.lists)
        if changes is not None:
            self._write(instance.lines(changes, now))

    def _write(self, lines: list[str]) -> None:
        if not lines:
            return
        if self.source != self.at:
            self.source = self.at
            self.reply.append(f"SOURCE {self.at}")
        self.reply += lines


def _answer(sink: BinaryIO, lines: list[str]) -> None:
    sink.write(("\n".join([*lines, "READY"]) + "\n").encode())
    sink.flush()


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answers batches until the input ends. A line that is not understood ends it with one message.

    Args:
        source: lines of the simulator.
        sink: gets the answer of each batch.
        errors: gets the message.

    Returns:
        The process's exit status.
    """
    process = Process()
    for number, raw in enumerate(source, 1):
        try:
            text = raw.decode("utf-8").rstrip("\r\n")
            if not text or not process.line(text):
                continue
        except (WireError, UnicodeDecodeError) as error:
            message = f"line {number}: {error}"
            print(f"pebblehinge: {message}", file=errors)
            if process.at is not None:
                process.reply += [f"SOURCE {process.at}", f"FAULT {message}"]
            _answer(sink, process.reply)
            return EXIT_WIRE_ERROR
        _answer(sink, process.reply)
    return 0
