"""Runs one gateway in an event loop, with the signals by which the platform controls it."""

from __future__ import annotations

import asyncio
import signal

from pebblehinge.service import early_signals
from pebblehinge.service.config import ServiceConfig
from pebblehinge.service.server import Service


async def run(path: str, config: ServiceConfig) -> None:
    """Runs a gateway until the shutdown after SIGTERM or SIGINT has finished; raises OSError if it can't listen."""
    loop = asyncio.get_running_loop()
    service = Service(loop, config, path)
    loop.set_exception_handler(
        lambda _, context: service.log(
            "unhandled error in the event loop", what=context["message"], error=repr(context.get("exception"))
        )
    )
    handlers = {
        signal.SIGHUP: service.reload,
        signal.SIGTERM: service.shutdown.begin,
        signal.SIGINT: service.shutdown.begin,
    }
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    await service.start()
    for signal_number in early_signals.received_signals:
        handlers[signal.Signals(signal_number)]()
    await service.stopped_future
