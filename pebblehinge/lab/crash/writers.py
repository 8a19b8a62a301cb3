"""Writers of the crash rounds, and the record of what they sent and which answers they got."""

from __future__ import annotations

import random
from collections.abc import Callable

from pebblehinge.client import Client


class WriteRecords:
    """Requests of all writers and their answers."""

    def __init__(self) -> None:
        self.sent: dict[str, tuple[str, int, int, bytes]] = {}  # label -> extent, slot, offset, data
        self.confirmed: dict[str, int] = {}  # label -> event number of the confirmation
        self.unknown: dict[str, None] = {}
        self.asked: dict[str, int] = {}  # label -> event number of the sending
        self.barriers: list[tuple[int, int]] = []  # event numbers of sending and success
        self.flushes = 0
        self.claimed_wrongly: list[str] = []
        self.events = 0

    def event(self) -> int:
        self.events += 1
        return self.events


class Writer:
    """Sends writes, each to its own range of an extent, appended to the writer's earlier writes."""

    def __init__(self, name: str, rng: random.Random, books: WriteRecords) -> None:
        self.name, self.rng, self.books = name, rng, books
        self.count = 0
        self.at: dict[str, int] = {}  # extent -> its end offset

    def draw(self) -> tuple[str, str, int, int, bytes]:
        self.count += 1
        slot = self.rng.randrange(3)
        extent = f"{self.name}-{slot}-{self.rng.randrange(3)}"
        offset = self.at.get(extent, 0)
        data = self.rng.randbytes(self.rng.choice([40, 400, 3000]))
        self.at[extent] = offset + len(data)
        return f"{self.name}.{self.count}", extent, slot, offset, data

    async def one(self, client: Client, held: Callable[[], dict[str, bytearray]] | None) -> None:
        """Sends one write, barrier or flush and records its result. `held` returns the nodes' present extents."""
        books, choice = self.books, self.rng.random()
        if choice < 0.04:
            asked_at = books.event()
            result = await client.barrier("bids", profile="save", patience_ms=2000.0)
            if result.succeeded:
                books.barriers.append((asked_at, books.event()))
        elif choice < 0.08:
            before = [label for label in books.confirmed]
            result = await client.flush_volume("bids", profile="save", patience_ms=2500.0)
            if result.succeeded:
                books.flushes += 1
                stored = held() if held is not None else {}
                for label in before if held is not None else ():
                    extent, _, offset, data = books.sent[label]
                    if bytes(stored.get(extent, b"")[offset : offset + len(data)]) != data:
                        books.claimed_wrongly.append(f"a flush was honoured and {label} does not stand")
        else:
            label, extent, slot, offset, data = self.draw()
            books.sent[label] = (extent, slot, offset, data)
            books.asked[label] = books.event()
            result = await client.write(
                "bids",
                extent,
                data,
                offset=offset,
                slot=slot,
                label=label,
                profile="save",
                units=1.0,
                patience_ms=2000.0,
            )
            if result.succeeded:
                books.confirmed[label] = books.event()
            elif result.final != "pushed back":
                books.unknown[label] = None
