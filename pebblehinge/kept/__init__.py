"""What the decision module keeps book of with no decision in it: settings by name, handles, wakes and changes, columns
under dense places, lines of requests, memory packed."""

from pebblehinge.kept.calls import Calls
from pebblehinge.kept.columns import Columns
from pebblehinge.kept.given import Given
from pebblehinge.kept.lines import Lines
from pebblehinge.kept.memory import Past, pack
from pebblehinge.kept.notes import Notes
from pebblehinge.kept.recent import Recent
from pebblehinge.kept.store import Store

__all__ = ["Calls", "Columns", "Given", "Lines", "Notes", "Past", "Recent", "Store", "pack"]
