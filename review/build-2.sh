#!/usr/bin/env bash
# After the build of the deploy file: all stand-ins of the cases 6 to 10 are Python, the project's own too.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q pebblehinge review
