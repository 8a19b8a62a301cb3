"""The loop of the adapter: decodes batches into calls on heads, and encodes what they changed."""

from __future__ import annotations

from typing import Any, BinaryIO, TextIO

from pebblehinge.decide import Access, Head
from pebblehinge.interface import Changes, Entry, ListKind
from pebblehinge.wirehost import codec
from pebblehinge.wirehost.codec import WireError


class Instance:
    """One head of this process, with the handles of its accesses that may still get events."""

    def __init__(self, head: Head) -> None:
        self.head = head
        self.accesses: dict[int, Access] = {}
        self.wake_ms: float | None = None  # the earliest timer that is set
        self.timer = 0  # its cookie


class Process:
    """All heads of this process. They share nothing but the numbered lists of the wire."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.lists: dict[int, list[Entry]] = {}
        self.clock = 0.0
        self.at: str | None = None  # the instance that the lines are addressed to
        self.reply: list[str] = []
        self.source: str | None = None  # the instance that the reply's lines come from
        self.open_list: tuple[list[Entry], int] | None = None

    def line(self, text: str) -> bool:
        """Takes one line; True when it closes the batch."""
        word, values = codec.read_line(text)
        if self.open_list is not None:
            entries, wanted = self.open_list
            if word != "ROW":
                raise WireError(f"{word} after {len(entries)} entries of a list: expected {wanted} ROW lines")
            entries.append(codec.read_entry(values))
            if len(entries) == wanted:
                self.open_list = None
        elif word == "BATCH":
            self.clock, self.at, self.reply, self.source = values[0], None, [], None
        elif word == "FOR":
            self.at = values[0]
        elif word == "MANIFEST":
            self.lists[values[0]] = []
            self.open_list = (self.lists[values[0]], values[1]) if values[1] else None
        elif word == "ROW":
            raise WireError("ROW outside a list: expected MANIFEST before it")
        elif word != "GO":
            self._event(word, values)
        return word == "GO"

    def _event(self, word: str, values: list[Any]) -> None:
        if self.at is None:
            raise WireError(f"{word} is addressed to no instance: expected FOR before it")
        now = self.clock
        if word == "HELLO":
            head = Head(codec.read_settings(values[1]), values[0], now)
            self.instances[self.at] = Instance(head)
            self._encode(self.instances[self.at], head.start(now))
            return
        if word == "DESTROY":
            self.instances.pop(self.at, None)
            return
        instance = self.instances.get(self.at)
        if instance is None:
            raise WireError(f"{word} for {self.at}, which has not started: expected HELLO before it")
        changes = self._call(instance, word, values, now)
        if changes is not None:
            self._encode(instance, changes)

    def _call(self, instance: Instance, word: str, values: list[Any], now: float) -> Changes | None:
        head = instance.head
        if word == "ARRIVAL":
            tid, extent, profile, plan, options, *where = values
            for kind, name, known in (("tier_class", profile, head.given.profiles), ("tier", plan, head.given.plans)):
                if name not in known:
                    raise WireError(f"ARRIVAL: {kind} is {name!r}: expected one of {', '.join(known)}")
            set_size, slot, units, volume, abandon = where
            repeat = bool(options & codec.RETRY_BIT) if head.given.cfg.marks_repeats else None
            access, changes = head.take(now, tid, extent, profile, plan, volume, set_size, slot, units, abandon, repeat)
            instance.accesses[tid] = access
            return changes
        if word == "SYNC":
            ref, _, kind = values
            if kind is not ListKind.FAILED and ref not in self.lists:
                raise WireError(f"SYNC: ref is {ref}: expected the number of a MANIFEST that came before")
            return head.listed(now, kind, [] if kind is ListKind.FAILED else self.lists[ref])
        if word == "TICK_DUE":
            if values[0] == instance.timer:  # any other was overtaken by an earlier one
                instance.wake_ms = None
            return head.woken(now)
        if word not in ("VERDICT", "HEADERS", "HANGUP"):
            return None  # the head sends no probes and has no peers
        access = instance.accesses.get(values[0])
        if access is None:
            return None  # over already, and nothing of it is out
        if word == "VERDICT":
            _, attempt, _, outcome, over, _, _, took, _ = values
            changes = access.ended(now, attempt, outcome, over, took)
        else:
            changes = access.begun(now) if word == "HEADERS" else access.left(now)
        if access.over and not access.out and access not in changes.handles:
            del instance.accesses[access.id]
        return changes

    def _encode(self, instance: Instance, changes: Changes) -> None:
        lines = []
        for access in changes.handles:
            attempts, cancellations, answer = access.drain()
            lines += [f"SUBMIT_TO {access.id} {t.shelf} {codec.seconds(t.until_ms)}" for t in attempts]
            lines += [f"ABORT_ATTEMPT {access.id} {attempt}" for attempt in cancellations]
            if answer is not None:
                lines.append(codec.write_answer(access.id, answer.final, answer.stay_away_ms))
            if access.over and not access.out:
                instance.accesses.pop(access.id, None)
        lines += [codec.CALLS[call] for call in changes.list_calls]
        wake = changes.wake_ms
        if wake is not None and (instance.wake_ms is None or wake < instance.wake_ms):
            instance.wake_ms = max(wake, self.clock)
            instance.timer += 1
            lines.append(f"TIMER {codec.seconds(instance.wake_ms - self.clock)} {instance.timer}")
        if lines:
            if self.source != self.at:
                self.source = self.at
                self.reply.append(f"SOURCE {self.at}")
            self.reply += lines


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answers batches until the input ends. A line that is not understood ends it with one plain message."""
    process, number = Process(), 0
    for raw in source:
        number += 1
        try:
            text = raw.decode("utf-8").rstrip("\r\n")
            if not text or not process.line(text):
                continue
        except (WireError, UnicodeDecodeError) as error:
            message = f"line {number}: {error}"
            print(f"pebblehinge: {message}", file=errors)
            if process.at is not None:
                process.reply += [f"SOURCE {process.at}", f"FAULT {message}"]
            sink.write(("\n".join([*process.reply, "READY"]) + "\n").encode())
            sink.flush()
            return 2
        sink.write(("\n".join([*process.reply, "READY"]) + "\n").encode())
        sink.flush()
    return 0
