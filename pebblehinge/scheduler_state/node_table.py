"""What the scheduler knows of storage nodes, as parallel columns under a dense index."""

from __future__ import annotations

from typing import Any, Generic, TypeVar

R = TypeVar("R")


class NodeTable(Generic[R]):
    """Holds one row per node, in parallel columns; R is the type of a request.

    The row of a node that has left the endpoint list and has no request queued or in flight is reused for the next new
    name.
    """

    def __init__(self) -> None:
        self.names: list[str] = []
        self.index: dict[str, int] = {}
        self.vacant_rows: dict[int, None] = {}  # rows whose node left the endpoint list, earliest first
        self.node_at_slot: dict[int, int] = {}  # slot -> row of the ready node that holds it
        self.accepting_nodes: list[int] = []  # rows of these nodes, ascending
        self.columns: list[list[Any]] = []
        self.ready: list[bool] = self.add_column()
        self.slots: list[int] = self.add_column()
        self.started_ms: list[float] = self.add_column()  # start of the process; 0 is long ago
        self.slow_start_since_ms: list[float | None] = self.add_column()  # None outside a slow start
        self.queues: list[list[R]] = self.add_column()  # requests, earliest due first
        self.in_flight: list[list[R]] = self.add_column()  # requests, oldest attempt first
        self.unrounded_limit: list[float] = self.add_column()
        self.concurrency_limit: list[int] = self.add_column()  # attempts at once: unrounded_limit, rounded
        self.reservations: list[list[tuple[str, float]]] = self.add_column()  # of capacity: extent, until when
        self.last_extent: list[str | None] = self.add_column()  # extent of the last attempt sent
        self.random_latency_ms: list[float] = self.add_column()  # moving average, 0 if unknown
        self.sequential_latency_ms: list[float] = self.add_column()  # moving average, 0 if unknown
        self.mean_latency_ms: list[float] = self.add_column()  # moving average, per request of mean size
        self.mean_updated_ms: list[float] = self.add_column()
        self.last_answer_ms: list[float] = self.add_column()  # or the first attempt after none was in flight
        self.consecutive_losses: list[int] = self.add_column()  # attempts timed out or broken since last_answer_ms
        self.unreachable: list[bool] = self.add_column()
        self.next_probe_ms: list[float] = self.add_column()

    def add_column(self) -> list[Any]:
        """Returns a new column with None in each row; it grows with the table."""
        self.columns.append([None] * len(self.names))
        return self.columns[-1]

    def rows_except(self, names: set[str]) -> list[int]:
        """Returns the rows of all names but these."""
        return [index for index, name in enumerate(self.names) if name not in names]

    def allocate_row(self, name: str) -> int:
        """Returns a row for a new name. Nothing is queued or in flight there; most other columns are None."""
        free_rows = (row for row in self.vacant_rows if not self.queues[row] and not self.in_flight[row])
        index = next(free_rows, len(self.names))
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
