"""Plays a random run on a simulated fleet, and returns its records as facts for the checker of the rules."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from random_runs import GATEWAYS, MAX_WAKE_UP_DELAY_MS, NODE_COUNT
from simulated_fleet import SimulatedFleet

from pebblehinge.interface import EndpointEntry, EndpointState, ListKind, Outcome
from pebblehinge.lab.check import DayFacts


class SimulatedRun(SimulatedFleet):
    """One run. Its events are methods, by the names that `random_events` gives them."""

    def play(self, events: list[tuple[Any, ...]]) -> DayFacts:
        """Plays a run, waits for what is left of it, and returns the facts."""
        for wait_ms, name, gateway, *arguments in events:
            self._advance_to(self.now + wait_ms)
            getattr(self, "_" + name)(gateway, *arguments)
        self._advance_to(self.now + 4000.0)
        day = DayFacts(self.config)
        day.lab(self.records["lab"])
        day.clients(self.records["clients"])
        day.listing(self.records["listing"])
        for node, rows in self.node_records.items():
            day.shelf(node, sorted(rows, key=lambda row: row["t"]))
        day.extra += [(0.0, text) for text in self.attempts_after_answer]
        return day

    # ---- events

    def _submit(
        self,
        name: str,
        request_class: str,
        quota_plan: str,
        extent: str,
        slot: int,
        units: float,
        remaining_ms: float,
    ) -> None:
        """A client sends a request, for whose answer it waits `remaining_ms` more."""
        incarnation = self.incarnations[name]
        self.request_count += 1
        request_id, trace, profile = (
            self.request_count,
            f"c-{self.request_count}.0",
            self.config.profile[request_class],
        )
        volume = f"{quota_plan}-1"
        op = {"op": trace[:-2], "head": name, "profile": request_class, "x": extent, "u": units, "volume": volume}
        self._record("clients", "op", t=self.now + remaining_ms - profile.patience, plan=quota_plan, **op)
        self._record("clients", "sent", id=trace)
        request, changes = incarnation.scheduler.submit(
            self.now,
            request_id,
            extent,
            request_class,
            quota_plan,
            volume,
            len(GATEWAYS),
            slot,
            units,
            self.now + remaining_ms,
            None,
        )
        request.trace, request.ended_attempts = trace, set()
        incarnation.requests[request_id] = request
        self.counts["nearly out of time"] += remaining_ms < 50.0
        self._apply_changes(name, incarnation, changes)

    def _node(self, name: str, index: int, event: str, list_delay_ms: float) -> None:
        """A node changes its state or restarts; all gateways hear of it `list_delay_ms` later."""
        node = f"s{index}"
        entry, self.previous_endpoints = self.endpoints[node], dict(self.endpoints)
        self.counts[event] += 1
        if event in ("drain", "gone", "back"):
            state = {"drain": EndpointState.DRAINING, "gone": EndpointState.GONE, "back": EndpointState.READY}[event]
            self.endpoints[node] = replace(entry, state=state)
        else:  # another process takes over the name; the attempts in flight at the former one break
            for row in self.in_flight.pop(node, []):
                self._end_attempt(*row, Outcome.CONNECTION_LOST)
            started_ms = {"earlier": self.now - 2000.0, "unstated": 0.0, "future": self.now + 500.0}.get(
                event, self.now
            )
            slot = (entry.slot + 1) % NODE_COUNT if event == "moved" else entry.slot
            self.endpoints[node] = EndpointEntry(node, EndpointState.READY, slot, started_ms)
            self._record_start(node, event == "restart")
        for gateway in GATEWAYS:
            self.schedule(self.now + list_delay_ms, lambda gateway=gateway: self._list(gateway, "changes", [node]))

    def _list(self, name: str, kind: str, nodes: list[str] | None = None) -> None:
        """A gateway gets an endpoint list, of all nodes unless `nodes` names some; a stale one is the previous list."""
        incarnation = self.incarnations[name]
        endpoints = self.previous_endpoints if kind == "stale" else self.endpoints
        names = nodes if nodes is not None else sorted(endpoints)
        entries = [
            endpoints[node] for node in names if kind == "changes" or endpoints[node].state is not EndpointState.GONE
        ]
        list_kinds = {"failed": ListKind.FAILED, "changes": ListKind.CHANGES, "cached": ListKind.CACHED}
        list_kind = list_kinds.get(kind, ListKind.WHOLE)
        if list_kind is not ListKind.FAILED:
            rows = [(entry.node_name, entry.state.value, entry.started_ms) for entry in entries]
            recorded_kind = "changes" if kind == "changes" else "whole"
            self._record("listing", "told", head=name, kind=recorded_kind, rows=rows)
        incarnation.slots |= {entry.node_name: entry.slot for entry in entries if kind != "failed"}
        self.counts["list " + kind] += 1
        self._apply_changes(
            name,
            incarnation,
            incarnation.scheduler.apply_endpoint_list(
                self.now, list_kind, [] if list_kind is ListKind.FAILED else entries
            ),
        )

    def _disconnect(self, name: str, draw: float, _: bool) -> None:
        """A client disconnects before its answer."""
        incarnation = self.incarnations[name]
        open_requests = [request for request in incarnation.requests.values() if request.trace not in self.closed_ms]
        if open_requests:
            request = open_requests[int(draw * len(open_requests))]
            self._record("clients", "left", id=request.trace)
            self.closed_ms[request.trace] = self.now
            self.counts["left"] += 1
            self._apply_changes(name, incarnation, request.on_client_disconnect(self.now))

    def _kill(self, name: str, draw: float, has_snapshot: bool) -> None:
        """A gateway is killed, and starts again with or without a snapshot."""
        incarnation = self.incarnations[name]
        self._record("lab", "killed", name=name)
        open_traces = [
            request.trace for request in incarnation.requests.values() if request.trace not in self.closed_ms
        ]
        self._record("clients", "cut", open=open_traces)
        self.counts["killed"] += 1
        self._start_gateway(name, incarnation.scheduler.snapshot(self.now) if has_snapshot else None)
        self._list(name, "cached")

    def _replace_settings(self, name: str, draw: float, _: bool) -> None:
        """A gateway gets new settings, half of the time with halved rate limits."""
        incarnation = self.incarnations[name]
        quota_plans = tuple(
            replace(plan, limit_rate=plan.limit_rate * (0.5 if draw < 0.5 else 1.0))
            for plan in incarnation.settings.quota_plans
        )
        self.counts["adopted"] += 1
        incarnation.settings = replace(incarnation.settings, quota_plans=quota_plans)
        self._apply_changes(name, incarnation, incarnation.scheduler.replace_settings(self.now, incarnation.settings))

    def _early_wake_up(self, name: str, *_: Any) -> None:
        """A gateway's scheduler is woken up before the time that it asked for."""
        self._apply_changes(name, self.incarnations[name], self.incarnations[name].scheduler.on_wake_up(self.now))

    def _delay_wake_ups(self, name: str, draw: float, _: bool) -> None:
        """A gateway's scheduler is not woken up for a while."""
        self.incarnations[name].wake_ups_delayed_until_ms = self.now + draw * MAX_WAKE_UP_DELAY_MS
        self.counts["delayed wake-ups"] += 1

    def _repeat_end(self, name: str, draw: float, _: bool) -> None:
        """The end of an attempt is reported a second time, as an error."""
        incarnation = self.incarnations[name]
        ended = [
            (request, number) for request in incarnation.requests.values() for number in sorted(request.ended_attempts)
        ][-40:]
        if ended:
            request, number = ended[int(draw * len(ended))]
            self.counts["repeated end"] += 1
            self._apply_changes(
                name, incarnation, request.on_attempt_end(self.now, number, Outcome.SERVER_ERROR, False, 1.0)
            )
