"""The search for days that break a rule."""

from __future__ import annotations

from command_line import DAYS_FOLDER

from pebblehinge.lab import search
from pebblehinge.settings import Config, load


def test_search_draws_the_same_days_and_shrinks_to_what_matters() -> None:
    config = load(DAYS_FOLDER / "ledger.conf")
    assert search.draw(config, 4, 9000.0) == search.draw(config, 4, 9000.0)
    drawn = [search.draw(config, seed, 9000.0) for seed in range(30)]
    assert len({t.name for troubles in drawn for t in troubles}) > 15
    worst = search.Find(1, [*search.draw(config, 3, 9000.0)], 0.0, ["order"])

    def played(config: Config, troubles: list, seed: int, length: float) -> search.Find:
        broken = ["order"] if any(t.name == worst.troubles[-1].name for t in troubles) else []
        return search.Find(seed, troubles, 0.5, broken)

    real, search.attempt = search.attempt, played
    try:
        small = search.shrink(config, worst, 9000.0, 0.0, lambda line: None)
    finally:
        search.attempt = real
    assert {t.name for t in small.troubles} == {worst.troubles[-1].name}
