"""Coverage-guided fuzzing of every decoder of the rsync protocol.

    pip install atheris==3.0.0
    python benchmarks/fuzz_rsync.py tests/rsync_corpus -max_total_time=1800 -max_len=600

Not part of the tests: they play the corpus that such runs leave, and hypothesis' own inputs.
"""

from __future__ import annotations

import sys
from pathlib import Path

import atheris

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

with atheris.instrument_imports(include=["pebblehinge.rsync"]):
    from rsync_fuzz import one

atheris.Setup(sys.argv, one)
atheris.Fuzz()
