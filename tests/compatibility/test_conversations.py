"""What is said over the platform's interfaces is said as commit 6837705 did, to the word."""

from __future__ import annotations

from conversations import answered, asked, bad_lines
from http_requests import configurations, outcome, refusal, requests
from plain import saved


def test_the_lines_of_a_simulator_are_answered_as_before() -> None:
    expected = saved("simulated")
    said = answered(expected["lines"]).splitlines()
    assert said == expected["answered"]
    assert {line.split()[0] for line in said} >= {
        "SOURCE",
        "SUBMIT_TO",
        "ABORT_ATTEMPT",
        "REPORT_FAILURE",
        "NOT_NOW",
        "TIMER",
        "LISTEN",
        "READY",
    }


def test_another_line_is_answered_otherwise() -> None:
    expected = saved("simulated")
    ends = [n for n, line in enumerate(expected["lines"]) if line.startswith("VERDICT") and " completed " in line]
    lines = list(expected["lines"])
    lines[ends[3]] = lines[ends[3]].replace(" completed ", " errored ")
    assert answered(lines).splitlines() != expected["answered"]


def test_lines_that_the_wire_does_not_allow_are_refused_in_the_words_of_before() -> None:
    assert [answered(lines).splitlines() for lines in bad_lines()] == saved("simulated")["refused"]


def test_requests_are_read_and_refused_as_before() -> None:
    expected = saved("requests")
    assert [outcome(data) for data in requests()] == expected["outcomes"]
    assert outcome(requests()[-1].replace(b"units=2", b"units=3")) not in expected["outcomes"]


def test_configurations_are_refused_in_the_words_of_before() -> None:
    assert [refusal(data) for data in configurations()] == saved("requests")["configurations"]


def test_operators_are_answered_as_before() -> None:
    assert asked() == saved("operators")
