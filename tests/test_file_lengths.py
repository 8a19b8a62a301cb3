"""No file that was touched since the work on fleets began holds more than 250 lines.

long_files.txt names the files that were longer then, each with the start of its SHA-256. Such a file may stay as it is;
once a byte of it changes it has to be split, and its line goes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
MOST = 250
CODE = {".py", ".js", ".css", ".html", ".sh"}
FOLDERS = ("pebblehinge", "tests", "benchmarks", "examples")


def old(file: Path) -> dict[str, str]:
    rows = [line.split() for line in file.read_text().splitlines() if line and not line.startswith("#")]
    return {path: digest for digest, path in rows}


def code(root: Path) -> Iterator[Path]:
    for folder in FOLDERS:
        for file in sorted((root / folder).rglob("*")):
            if file.suffix in CODE and file.is_file() and "__pycache__" not in file.parts:
                yield file


def too_long(root: Path, known: dict[str, str]) -> list[str]:
    """What is wrong, a line each."""
    found, seen = [], set()
    for file in code(root):
        data, name = file.read_bytes(), file.relative_to(root).as_posix()
        lines = data.count(b"\n")
        if lines <= MOST:
            continue
        seen.add(name)
        if known.get(name) != hashlib.sha256(data).hexdigest()[:16]:
            found.append(f"{name}: {lines} lines, {'touched' if name in known else 'new'}: split it, {MOST} at most")
    return found + [f"{name}: named in long_files.txt, but short or gone" for name in known if name not in seen]


def test_no_file_that_was_touched_is_too_long() -> None:
    found = too_long(ROOT, old(ROOT / "tests" / "long_files.txt"))
    assert not found, "\n".join(found)


def test_the_check_finds_new_touched_and_forgotten_files(tmp_path: Path) -> None:
    for folder in FOLDERS:
        (tmp_path / folder).mkdir()
    long, short = b"x = 1\n" * 251, b"x = 1\n" * 250
    (tmp_path / "tests" / "a.py").write_bytes(long)
    (tmp_path / "tests" / "b.py").write_bytes(short)
    digest = hashlib.sha256(long).hexdigest()[:16]
    assert too_long(tmp_path, {"tests/a.py": digest}) == []
    assert "new" in too_long(tmp_path, {})[0]
    assert "touched" in too_long(tmp_path, {"tests/a.py": "0" * 16})[0]
    assert "gone" in too_long(tmp_path, {"tests/a.py": digest, "tests/b.py": digest})[0]
