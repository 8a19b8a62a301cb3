"""Writes an extent through a head and reads it back; see the README for what must run."""

import asyncio
import sys

from pebblehinge.client import connect


async def main(address: str) -> int:
    client = await connect(address, name="example")
    saved = await client.write(
        "office", "tender/42", b"our offer", profile="bid-save", slot=0, units=1.0, patience_ms=4000.0
    )
    print(f"write: {saved.final} after {saved.took_ms:.1f} ms {saved.reason}")
    got = await client.read("office", "tender/42", 9, profile="doc-read", slot=0, units=1.0, patience_ms=2500.0)
    print(f"read: {got.final} {got.data!r}")
    client.close()
    return 0 if got.data == b"our offer" else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main(sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1:7001")))
