"""Configuration that a few instances agree on, and how heads take up a version so that a plan's limit holds meanwhile.

`state` is the replicated state machine, `activation` the arithmetic of limits between versions, `leases` what a
leader knows of heads, `renewals` when it asks the majority, proposes and answers, `taking` what a head makes of what
it is told, `reading` reads a version's text once a process: none of these has I/O or a clock. `server` is an instance
on sockets, `granting` its side of heads, `asking` and `proposals` that of operators, `feed` a head's way to the group,
`ask` the operator's.
"""

from pebblehinge.replicated_config.leases import Leases
from pebblehinge.replicated_config.state_machine import State
from pebblehinge.replicated_config.version_application import Taking

__all__ = ["Leases", "State", "Taking"]
