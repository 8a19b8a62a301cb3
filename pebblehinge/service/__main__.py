"""Entry point of `python -m pebblehinge.service`: runs one gateway, configured by the file that RELAY_CONFIG names."""

import os
import sys

from pebblehinge.service import early_signals

if __name__ == "__main__":  # This precedes the imports below, as they take long enough for a signal to arrive.
    early_signals.record_signals()

from pebblehinge.service import tls_omission

if __name__ == "__main__":
    tls_omission.omit_tls()

import uvloop

from pebblehinge.platform_settings import PlatformSettingsError
from pebblehinge.service.config import load_config
from pebblehinge.service.run import run

EXIT_CONFIGURATION = 2


def main() -> int:
    """Runs the gateway until it is stopped; returns the exit code: 0, or 2 if it could not start."""
    path = os.environ.get("RELAY_CONFIG", "")
    try:
        if not path:
            raise PlatformSettingsError("configuration: RELAY_CONFIG is not set: expected the path of a file")
        config = load_config(path)
        uvloop.run(run(path, config))
    except (PlatformSettingsError, OSError) as error:
        print(f"pebblehinge: {error}", file=sys.stderr)
        return EXIT_CONFIGURATION
    return 0


if __name__ == "__main__":
    sys.exit(main())
