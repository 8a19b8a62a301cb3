"""Client library: requests over one connection to a gateway, each of which ends with exactly one `Result`.

client = await connect("127.0.0.1:7000", name="office")
result = await client.write("vol-1", "tender/42", b"...", profile="bid-save", slot=3, units=2, patience_ms=4000)
if result.final == "pushed back": ...   # a retry is safe, after result.stay_ms
"""

from pebblehinge.client.connection import Client
from pebblehinge.client.establish import connect
from pebblehinge.client.observer import Observer
from pebblehinge.client.result import Result
from pebblehinge.client.retry import RetryPolicy, with_retries

__all__ = ["Client", "Observer", "Result", "RetryPolicy", "connect", "with_retries"]
