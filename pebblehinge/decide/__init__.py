"""All scheduling decisions. `interface.py` says how they are called, and `dispatch.py` shows the path of a request.

Comments refer to the platform's seven rules by number:

1. Each request gets its final answer by its deadline.
2. No request runs twice unless that is harmless (idempotency).
3. Nothing is sent to a storage node that is draining or gone.
4. A storage node in a slow start gets no more load than it can handle.
5. No volume exceeds its rate limit.
6. Requests of an ordered class run one at a time per extent, in order of arrival.
7. Retries stay within the retry budget.
"""

from pebblehinge.decide.dispatch import NEVER_RAN_OUTCOMES
from pebblehinge.decide.node_health import MAX_CONCURRENCY
from pebblehinge.decide.request import MAX_CACHE_ENTRIES, Request
from pebblehinge.decide.scheduler import Scheduler

__all__ = ["MAX_CACHE_ENTRIES", "MAX_CONCURRENCY", "NEVER_RAN_OUTCOMES", "Request", "Scheduler"]
