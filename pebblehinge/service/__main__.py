"""What `run` starts: one head in the foreground, told all it needs by the file that RELAY_CONFIG names."""

import os
import sys

from pebblehinge.service import early

if __name__ == "__main__":  # what is loaded below takes a while
    early.hold()

import uvloop  # noqa: E402

from pebblehinge.platform_settings import PlatformSettingsError  # noqa: E402
from pebblehinge.service.config import load_config  # noqa: E402
from pebblehinge.service.server import run  # noqa: E402


def main() -> int:
    path = os.environ.get("RELAY_CONFIG", "")
    try:
        if not path:
            raise PlatformSettingsError("configuration: RELAY_CONFIG is not set: expected the path of a file")
        config = load_config(path)
        uvloop.run(run(path, config))
    except (PlatformSettingsError, OSError) as error:
        print(f"pebblehinge: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
