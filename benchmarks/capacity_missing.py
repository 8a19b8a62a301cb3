"""The ranked list of what breaks first as the fleet grows. Used by `capacity_page.py`."""

from __future__ import annotations

from capacity_fits import Data, DataError, Reckoning
from capacity_text import rows

MOST_HEADS = 1_000_000
FAR_OFF = 10  # times the coming size: beyond that a row of the ranked list is only named


def passed_at(data: Data, expr: str, budget: str) -> int | None:
    """The smallest number of heads, in the coming size's shape, at which the expression is over its budget."""

    def over(heads: int) -> bool:
        names = data.grown(heads)
        return Reckoning(data, names).value(expr) > Reckoning(data, names).value(budget)

    if not over(MOST_HEADS):
        return None
    low, high = 0, MOST_HEADS
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (low, middle) if over(middle) else (middle, high)
    return high


def at_heads(heads: int) -> str:
    return "any" if heads <= 1 else f"{heads:,}" if heads <= MOST_HEADS else f"over {MOST_HEADS:,}"


def missing(data: Data) -> str:
    found = []
    for row in data.raw["missing"]:
        if "run" in row and row["run"] not in data.runs:
            raise DataError(f"missing {row['what']!r}: run {row['run']!r} is not there")
        heads = passed_at(data, row["expr"], str(row["budget"])) if "expr" in row else row["heads"]
        source = "computed" if "expr" in row else f"run {row['run']}"
        found.append((heads if heads is not None else MOST_HEADS + 1, row, source))
    found.sort(key=lambda f: (f[0], f[1]["what"]))
    far = [row["what"] for heads, row, _ in found if heads > FAR_OFF * data.raw["sizes"]["coming"]["heads"]]
    body = [
        [str(n), row["what"], at_heads(heads), row["budget_said"], row["mechanism"], source]
        for n, (heads, row, source) in enumerate(found[: len(found) - len(far)], 1)
    ]
    table = rows(["", "what breaks", "at heads", "budget", "mechanism", "how known"], body)
    return table + f"\nPassed only over {FAR_OFF} times the coming size: {'; '.join(far) or 'none'}.\n"
