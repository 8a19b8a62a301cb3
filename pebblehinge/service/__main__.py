"""What `run` starts: one head in the foreground, told all it needs by the file that RELAY_CONFIG names."""

import os
import sys

import uvloop

from pebblehinge.service.config import load_config
from pebblehinge.service.server import run
from pebblehinge.stated import StatedError


def main() -> int:
    path = os.environ.get("RELAY_CONFIG", "")
    try:
        if not path:
            raise StatedError("configuration: RELAY_CONFIG is not set: expected the path of a file")
        config = load_config(path)
        uvloop.run(run(path, config))
    except (StatedError, OSError) as error:
        print(f"pebblehinge: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
