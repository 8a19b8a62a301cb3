"""The scheduler's figures about storage nodes: parallel columns under a dense index."""

from __future__ import annotations

from typing import Any, Generic, TypeVar

R = TypeVar("R")


class NodeTable(Generic[R]):
    """One row a node. The row of a name that is gone, with no request left there, is given to the next new name.

    R is the type of a request.
    """

    def __init__(self) -> None:
        self.names: list[str] = []
        self.index: dict[str, int] = {}
        self.vacant_rows: dict[int, None] = {}  # rows whose node left the endpoint list, the first to leave first
        self.node_at_slot: dict[int, int] = {}  # slot -> node that holds it and is ready
        self.accepting_nodes: list[int] = []  # these nodes, in order
        self.columns: list[list[Any]] = []
        self.ready: list[bool] = self.add_column()
        self.slots: list[int] = self.add_column()
        self.started_ms: list[float] = self.add_column()  # its process, ms; 0 is long ago
        self.slow_start_since_ms: list[float | None] = self.add_column()  # since when, None if it is warm
        self.queues: list[list[R]] = self.add_column()  # earliest due first
        self.in_flight: list[list[R]] = self.add_column()  # requests with an attempt out, oldest attempt first
        self.unrounded_limit: list[float] = self.add_column()
        self.concurrency_limit: list[int] = self.add_column()  # attempts at once: the limit above, rounded
        self.reservations: list[list[tuple[str, float]]] = self.add_column()  # kept for an extent, until when
        self.last_extent: list[str | None] = self.add_column()  # of the last attempt sent
        self.random_latency_ms: list[float] = self.add_column()  # moving averages, 0 where nothing is known
        self.sequential_latency_ms: list[float] = self.add_column()
        self.mean_latency_ms: list[float] = self.add_column()  # per request of mean size
        self.mean_updated_ms: list[float] = self.add_column()
        self.last_answer_ms: list[float] = self.add_column()  # or the first attempt after none was out
        self.consecutive_losses: list[int] = self.add_column()  # attempts timed out or broken since that answer
        self.unreachable: list[bool] = self.add_column()
        self.next_probe_ms: list[float] = self.add_column()

    def add_column(self) -> list[Any]:
        """Returns a further column, None in each row; it grows with the table."""
        self.columns.append([None] * len(self.names))
        return self.columns[-1]

    def rows_except(self, names: set[str]) -> list[int]:
        """Returns the rows of all other names."""
        return [index for index, name in enumerate(self.names) if name not in names]

    def allocate_row(self, name: str) -> int:
        """Returns a row for a new name, with nothing queued or in flight and None elsewhere."""
        free = (row for row in self.vacant_rows if not self.queues[row] and not self.in_flight[row])
        index = next(free, len(self.names))
        if index in self.vacant_rows:
            del self.vacant_rows[index]
            del self.index[self.names[index]]
        self.index[name] = index
        self.names[index : index + 1] = [name]
        for column in self.columns:
            column[index : index + 1] = [None]
        self.ready[index] = False
        self.queues[index] = []
        self.in_flight[index] = []
        self.reservations[index] = []
        return index
