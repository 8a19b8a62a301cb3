"""Serves the gateways of one process on the simulator's wire protocol, from standard input to standard output."""

import sys

from pebblehinge.wirehost.loop import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
