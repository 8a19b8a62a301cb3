"""Captures: files of the requests that a gateway has finished, without their data, compressed and checksummed.

`format` defines the layout of the file and its types, `writer` writes captures and `reader` reads them.
"""

from pebblehinge.capture.errors import CaptureError
from pebblehinge.capture.format import CapturedRequest
from pebblehinge.capture.reader import Capture, parse_capture, read_capture
from pebblehinge.capture.writer import CaptureWriter, open_sink

__all__ = [
    "Capture",
    "CaptureError",
    "CaptureWriter",
    "CapturedRequest",
    "open_sink",
    "parse_capture",
    "read_capture",
]
