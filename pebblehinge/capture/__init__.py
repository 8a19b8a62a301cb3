"""What a head took, without payload: a versioned, compressed, checksummed file that is read up to a cut."""

from pebblehinge.capture.files import Capture, CaptureError, CaptureWriter, Row, read_capture

__all__ = ["Capture", "CaptureError", "CaptureWriter", "Row", "read_capture"]
