"""Configuration that a few members agree on, and how gateways apply a version so that a plan's limit always holds.

`state_machine` is the replicated state machine, with its `commands` and its `snapshot`; `activation` the arithmetic of
limits between versions, `leases` what a leader knows of gateways, `renewals` when it asks the majority, proposes and
answers, `version_application` what a gateway makes of its grants, `version_cache` parses a version's text once a
process: none of these has I/O or a clock.

`server` is a member on sockets: `member_connection` reads frames, `lease_granting` answers gateways,
`operator_requests` operators, with `proposal_queue`, `membership_requests` and `status`. `config_watcher` is a
gateway's way to the group, with `member_dialer` and `config_publisher`; `operator_client` the operator's.
"""

from pebblehinge.replicated_config.leases import Leases
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.replicated_config.version_application import VersionApplication

__all__ = ["ConfigState", "Leases", "VersionApplication"]
