"""All decisions of pebblehinge. How they are called stands in interface.py; a request's way in path.py."""

from pebblehinge.decide.head import Head
from pebblehinge.decide.path import NEVER_RAN
from pebblehinge.decide.request import REMEMBERED, Request
from pebblehinge.decide.shelfs import BOUND

__all__ = ["BOUND", "NEVER_RAN", "REMEMBERED", "Request", "Head"]
