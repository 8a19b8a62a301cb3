#!/bin/sh
# Builds what the cases start: the project's own programs and the cases' stand-ins are Python, so they are compiled.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q pebblehinge review
