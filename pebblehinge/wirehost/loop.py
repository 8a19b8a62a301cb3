"""The adapter's main loop: turns batches of lines into scheduler calls, and what these change into lines."""

from __future__ import annotations

from typing import Any, BinaryIO, TextIO

from pebblehinge.decide import Request, Scheduler
from pebblehinge.interface import Changes, EndpointEntry, Handle, ListKind
from pebblehinge.wirehost import codec
from pebblehinge.wirehost.codec import Message, WireError

EXIT_WIRE_ERROR = 2


class Instance:
    """One gateway of this process.

    Attributes:
        scheduler: Its scheduler.
        requests: The requests that may still get events, by their number on the wire.
        timer_due_ms: When the earliest timer that is set is due, None without one.
        timer_cookie: The number of the last timer.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.requests: dict[int, Request] = {}
        self.timer_due_ms: float | None = None
        self.timer_cookie = 0

    def handle_event(
        self, message: Message, values: list[Any], now: float, lists: dict[int, list[EndpointEntry]]
    ) -> Changes | None:
        """Passes a message to the scheduler.

        Args:
            message: Any message that the process does not handle itself.
            values: Its fields, as `codec.read_line` returns them.
            now: Current time in milliseconds.
            lists: The endpoint lists of the wire, by number.

        Returns:
            What it changed; None if the scheduler was not called.

        Raises:
            WireError: The message names something unknown.
        """
        if message is Message.ARRIVAL:
            return self._submit(values, now)
        if message is Message.SYNC:
            return self._apply_endpoint_list(values, now, lists)
        if message is Message.TICK_DUE:
            if values[0] == self.timer_cookie:  # any other timer was replaced by an earlier one
                self.timer_due_ms = None
            return self.scheduler.on_wake_up(now)
        if message in (Message.VERDICT, Message.HEADERS, Message.HANGUP):
            return self._handle_request_event(message, values, now)
        return None  # the scheduler sends no health checks and exchanges no gossip

    def _submit(self, values: list[Any], now: float) -> Changes:
        scheduler = self.scheduler
        request_id, extent, request_class, quota_plan, options, set_size, slot, units, volume, deadline_ms = values
        for field, name, known_names in (
            ("tier_class", request_class, list(scheduler.settings.request_classes)),
            ("tier", quota_plan, list(scheduler.settings.quota_plans)),
        ):
            if name not in known_names:
                raise WireError(f"ARRIVAL: {field} is {name!r}: expected one of {', '.join(known_names)}")
        is_retry = bool(options & codec.RETRY_OPTION_BIT) if scheduler.settings.current.clients_mark_retries else None
        request, changes = scheduler.submit(
            now, request_id, extent, request_class, quota_plan, volume, set_size, slot, units, deadline_ms, is_retry
        )
        self.requests[request_id] = request
        return changes

    def _apply_endpoint_list(self, values: list[Any], now: float, lists: dict[int, list[EndpointEntry]]) -> Changes:
        ref, _, kind = values
        if kind is ListKind.FAILED:
            return self.scheduler.apply_endpoint_list(now, kind, [])
        if ref not in lists:
            raise WireError(f"SYNC: ref is {ref}: expected the number of a MANIFEST that came before")
        return self.scheduler.apply_endpoint_list(now, kind, lists[ref])

    def _handle_request_event(self, message: Message, values: list[Any], now: float) -> Changes | None:
        request = self.requests.get(values[0])
        if request is None:
            return None  # it is closed, and no attempt of it is in flight
        if message is Message.VERDICT:
            _, attempt, _, outcome, answered, _, _, took_ms, _ = values
            changes = request.on_attempt_end(now, attempt, outcome, answered, took_ms)
        elif message is Message.HEADERS:
            changes = request.on_response_start(now)
        else:
            changes = request.on_client_disconnect(now)
        handle: Handle = request
        if request.closed and not request.attempt_in_flight and handle not in changes.handles:
            del self.requests[request.id]
        return changes

    def format_changes(self, changes: Changes, now: float) -> list[str]:
        """Returns the lines that tell what a call changed, and drops closed requests with no attempt in flight."""
        lines = []
        for request in changes.handles:
            attempts, cancellations, answer = request.drain()
            lines += [
                f"SUBMIT_TO {request.id} {attempt.node_name} {codec.format_seconds(attempt.deadline_ms)}"
                for attempt in attempts
            ]
            lines += [f"ABORT_ATTEMPT {request.id} {number}" for number in cancellations]
            if answer is not None:
                lines.append(codec.write_answer(request.id, answer.kind, answer.retry_after_ms))
            if request.closed and not request.attempt_in_flight:
                self.requests.pop(request.id, None)
        lines += [codec.DISCOVERY_CALL_LINES[call] for call in changes.discovery_calls]
        wake_ms = changes.wake_ms
        if wake_ms is not None and (self.timer_due_ms is None or wake_ms < self.timer_due_ms):
            self.timer_due_ms = max(wake_ms, now)
            self.timer_cookie += 1
            lines.append(f"TIMER {codec.format_seconds(self.timer_due_ms - now)} {self.timer_cookie}")
        return lines


class Process:
    """All gateways of this process. They share nothing but the numbered endpoint lists of the wire.

    Attributes:
        instances: The gateways by name.
        lists: The endpoint lists by number.
        clock: Time of the current batch, in milliseconds.
        current_instance: The instance that the lines are addressed to.
        reply: The lines of the current batch's answer so far.
        reply_source: The instance that the last lines of the reply come from.
        partial_list: The endpoint list that is being read, and its expected length.
    """

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.lists: dict[int, list[EndpointEntry]] = {}
        self.clock = 0.0
        self.current_instance: str | None = None
        self.reply: list[str] = []
        self.reply_source: str | None = None
        self.partial_list: tuple[list[EndpointEntry], int] | None = None

    def process_line(self, text: str) -> bool:
        """Processes one line, without its line end, and appends to `reply` what the instances answer.

        Returns:
            Whether it ends the batch.

        Raises:
            WireError: The wire protocol does not allow the line here.
        """
        message, values = codec.read_line(text)
        if self.partial_list is not None:
            self._read_row(message, values)
        elif message is Message.BATCH:
            self.clock = values[0]
            self.current_instance = None
            self.reply = []
            self.reply_source = None
        elif message is Message.FOR:
            self.current_instance = values[0]
        elif message is Message.MANIFEST:
            self.lists[values[0]] = []
            self.partial_list = (self.lists[values[0]], values[1]) if values[1] else None
        elif message is Message.ROW:
            raise WireError("ROW outside a list: expected MANIFEST before it")
        elif message is not Message.GO:
            self._handle_event(message, values)
        return message is Message.GO

    def _read_row(self, message: Message, values: list[Any]) -> None:
        assert self.partial_list is not None
        entries, expected_length = self.partial_list
        if message is not Message.ROW:
            raise WireError(
                f"{message.value} after {len(entries)} entries of a list: expected {expected_length} ROW lines"
            )
        entries.append(codec.read_entry(values))
        if len(entries) == expected_length:
            self.partial_list = None

    def _handle_event(self, message: Message, values: list[Any]) -> None:
        if self.current_instance is None:
            raise WireError(f"{message.value} is addressed to no instance: expected FOR before it")
        now = self.clock
        if message is Message.HELLO:
            scheduler = Scheduler(codec.read_settings(values[1]), values[0], now)
            self.instances[self.current_instance] = Instance(scheduler)
            self._append_reply(self.instances[self.current_instance].format_changes(scheduler.start(now), now))
            return
        if message is Message.DESTROY:
            self.instances.pop(self.current_instance, None)
            return
        instance = self.instances.get(self.current_instance)
        if instance is None:
            raise WireError(
                f"{message.value} for {self.current_instance}, which has not started: expected HELLO before it"
            )
        changes = instance.handle_event(message, values, now, self.lists)
        if changes is not None:
            self._append_reply(instance.format_changes(changes, now))

    def _append_reply(self, lines: list[str]) -> None:
        if not lines:
            return
        if self.reply_source != self.current_instance:
            self.reply_source = self.current_instance
            self.reply.append(f"SOURCE {self.current_instance}")
        self.reply += lines


def _write_reply(sink: BinaryIO, lines: list[str]) -> None:
    sink.write(("\n".join([*lines, "READY"]) + "\n").encode())
    sink.flush()


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answers batches until the input ends. An invalid line ends the process with one error message.

    Args:
        source: Lines of the simulator.
        sink: Receives the answer to each batch.
        errors: Receives the error message.

    Returns:
        The exit status of the process.
    """
    process = Process()
    for number, raw in enumerate(source, 1):
        try:
            text = raw.decode("utf-8").rstrip("\r\n")
            if not text or not process.process_line(text):
                continue
        except (WireError, UnicodeDecodeError) as error:
            message = f"line {number}: {error}"
            print(f"pebblehinge: {message}", file=errors)
            if process.current_instance is not None:
                process.reply += [f"SOURCE {process.current_instance}", f"FAULT {message}"]
            _write_reply(sink, process.reply)
            return EXIT_WIRE_ERROR
        _write_reply(sink, process.reply)
    return 0
