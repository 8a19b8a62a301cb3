"""Links between the pages: the page that one leads to is there, and so is the heading."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
LINK = re.compile(r"\]\(([^)\s]+)\)")


def slug(heading: str) -> str:
    """A heading's anchor: small letters, spaces as dashes, other signs left out."""
    return re.sub(r"[^\w\- ]", "", heading.strip().lower()).replace(" ", "-")


def anchors_of(page: Path) -> set[str]:
    return {slug(line.lstrip("#")) for line in page.read_text().splitlines() if line.startswith("#")}


def broken_links(pages: list[Path]) -> list[str]:
    """Links within the repository whose page or heading is not there."""
    found = []
    for page in pages:
        for link in LINK.findall(page.read_text()):
            if "://" in link:
                continue
            target, _, anchor = link.partition("#")
            other = (page.parent / target).resolve() if target else page
            if not other.exists() or (anchor and anchor not in anchors_of(other)):
                found.append(f"{page.name}: {link}")
    return found


def test_links_lead_somewhere() -> None:
    pages = [ROOT / "README.md", ROOT / "CHANGELOG.md", *sorted((ROOT / "docs").rglob("*.md"))]
    assert sum(len(LINK.findall(page.read_text())) for page in pages) > 50
    assert broken_links(pages) == []


def test_a_link_to_nowhere_is_found(tmp_path: Path) -> None:
    one, two = tmp_path / "one.md", tmp_path / "two.md"
    one.write_text("# One\n[a](two.md) [b](two.md#its-end) [c](#one) [d](https://example.org/x)\n")
    two.write_text("## Its end\n[a](three.md) [b](one.md#two)\n")
    assert broken_links([one, two]) == ["two.md: three.md", "two.md: one.md#two"]
