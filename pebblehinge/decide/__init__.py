"""All decisions of pebblehinge. How they are called stands in interface.py; an access's way in path.py."""

from pebblehinge.decide.access import REMEMBERED, Access
from pebblehinge.decide.head import Head
from pebblehinge.decide.path import NEVER_RAN
from pebblehinge.decide.shelfs import BOUND

__all__ = ["BOUND", "NEVER_RAN", "REMEMBERED", "Access", "Head"]
