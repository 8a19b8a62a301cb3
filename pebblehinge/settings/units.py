"""Types of the values in settings: numbers with a unit, names, addresses, paths; and the base class of blocks."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Ms = Annotated[float, Meta(ge=0, le=1e9, extra={"unit": "ms"})]
Size = Annotated[int, Meta(ge=0, le=2**40, extra={"unit": "size"})]
Factor = Annotated[float, Meta(ge=0, le=1e6, extra={"unit": "x"})]
Fraction = Annotated[float, Meta(ge=0, le=1, extra={"unit": "%"})]
Rate = Annotated[float, Meta(ge=0, le=1e9, extra={"unit": "/s"})]
Units = Annotated[float, Meta(ge=0, le=1e9)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
NonNegativeInt = Annotated[int, Meta(ge=0, le=2**53)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$", extra={"wants": "a name"})]
Address = Annotated[str, Meta(pattern=r"^[^\s:]+:\d{1,5}$", extra={"wants": "host:port"})]
Path = Annotated[str, Meta(min_length=1)]
MsRange = Annotated[tuple[float, float], Meta(extra={"unit": "ms"})]
FactorRange = Annotated[tuple[float, float], Meta(extra={"unit": "x"})]


class Block(Struct, kw_only=True, forbid_unknown_fields=True):
    """The base class of all blocks."""
