"""The client library: accesses over one connection to a head, each with exactly one `Result`.

client = await connect("127.0.0.1:7000", name="office")
got = await client.write("vol-1", "tender/42", b"...", profile="bid-save", slot=3, units=2, patience_ms=4000)
if got.final == "pushed back": ...   # harmless to try again, after got.stay_ms
"""

from pebblehinge.client.conn import Client, Result, connect
from pebblehinge.client.retry import Retries, with_retries

__all__ = ["Client", "Result", "Retries", "connect", "with_retries"]
