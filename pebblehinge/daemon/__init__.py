"""Parts of a long-running process: messages to its supervisor, its pid file, and its limit of open files."""

from pebblehinge.daemon.notify import Notifier
from pebblehinge.daemon.pid_file import PidFile, PidFileError

__all__ = ["Notifier", "PidFile", "PidFileError"]
