"""How rsync transfers share a head's requests: turns, the window, retries and what is kept of interrupted pushes."""

from __future__ import annotations

from pebblehinge.rsync.partial_uploads import PartialUploads
from pebblehinge.rsync.request_scheduler import RequestScheduler, refusal_reason, step_after_append


def test_turns_go_to_who_was_served_least() -> None:
    sharing = RequestScheduler(8, 4)
    sharing.window = 8.0
    many, one = sharing.begin(0.0, 1e6), None
    for n in range(50):
        sharing.enqueue(many, 1.0, n)
    assert [t.waiter for t in sharing.grant_next(0.0)] == [0, 1, 2, 3]  # no more of one transfer
    one = sharing.begin(1.0, 1e6)
    sharing.enqueue(one, 1.0, "save")
    assert [t.waiter for t in sharing.grant_next(1.0)] == ["save"]
    late = sharing.begin(2.0, 1e6)
    sharing.enqueue(late, 2.0, "late")
    assert late.service == one.service - 1.0 or late.service <= many.service  # not served for the time before it came


def test_the_window_follows_what_the_fleet_bears() -> None:
    sharing = RequestScheduler(20, 20)
    share, now = sharing.begin(0.0, 1e9), 0.0

    def rounds(took: float, final: str = "honoured", stay: float = 0.0) -> float:
        nonlocal now
        for _ in range(40):
            for _ in range(20):
                sharing.enqueue(share, 1.0, None)
            turns = sharing.grant_next(now)
            now += took
            for turn in turns:
                sharing.complete(now, turn, final, stay)
            sharing.end(share)
            sharing.shares[share.key] = share
            now = max(now, share.backoff_until_ms)
        return sharing.window

    assert rounds(10.0) == 20.0
    assert rounds(100.0) < 5.0  # ten times slower than usual
    for _ in range(20):
        grown = rounds(10.0)
    assert grown == 20.0
    assert rounds(10.0, "pushed back", 50.0) == 2.0 and share.backoff_until_ms == now


def test_what_follows_an_answer() -> None:
    sharing = RequestScheduler(4, 4)
    share = sharing.begin(0.0, 1000.0)
    turn = sharing.enqueue(share, 1.0, None)
    sharing.grant_next(0.0)
    assert sharing.retry_delay_ms(10.0, turn, "honoured", 0.0, True) is None
    assert sharing.retry_delay_ms(10.0, turn, "pushed back", 300.0, False) == 300.0  # it ran nowhere
    assert sharing.retry_delay_ms(10.0, turn, "terminated", 0.0, False) is None  # it may have run
    assert sharing.retry_delay_ms(10.0, turn, "terminated", 0.0, True) == 50.0
    assert sharing.retry_delay_ms(900.0, turn, "pushed back", 300.0, True) is None  # no time is left for it
    assert sharing.time_budget_ms(0.0, share, 400.0) == 400.0 and sharing.time_budget_ms(800.0, share, 400.0) == 200.0
    assert sharing.time_budget_ms(990.0, share, 400.0) == 0.0
    answers = [("honoured", True), ("honoured", False), ("pushed back", None), ("terminated", None)]
    assert [step_after_append(*a).value for a in answers] == ["done", "moved", "never", "look"]
    assert refusal_reason(0, 5, False, False) is None and "stopping" in refusal_reason(0, 5, True, False)
    assert "transfers are under way" in refusal_reason(5, 5, False, False) and "behind" in refusal_reason(
        0, 5, False, True
    )


def test_what_is_kept_of_interrupted_pushes() -> None:
    keeping = PartialUploads(2, 1000.0)
    assert not keeping.keep(0.0, "m", b"a", 99, [b"1"], 10)  # too little to be worth it
    assert keeping.keep(0.0, "m", b"a", 99, [b"1", b"2", b"3"], 10)
    assert not keeping.keep(1.0, "m", b"a", 99, [b"1", b"2"], 10)  # it had got further
    assert len(keeping.find(500.0, "m", b"a").blocks) == 3
    assert keeping.find(1000.0, "m", b"a") is None and not keeping.parts
    for path in (b"a", b"b", b"c"):
        keeping.keep(2000.0, "m", path, 9, [b"1", b"2"], 10)
    assert list(keeping.parts) == [("m", b"b"), ("m", b"c")]
    keeping.discard("m", b"b")
    assert list(keeping.parts) == [("m", b"c")]
