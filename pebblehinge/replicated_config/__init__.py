"""Configuration replicated by Raft, and how gateways apply a version so that a plan's limit always holds.

`state_machine` is the replicated state machine, with its `commands` and its `snapshot`. `activation` computes limits
between versions, `leases` holds what a leader knows of gateways' leases, `renewals` decides when a leader starts a
quorum round, proposes acknowledgements and answers, `version_application` applies grants in a gateway, and
`version_cache` parses a version's text once per process. None of these has I/O or a clock.

`server` is a member on sockets: `member_connection` reads frames, `lease_granting` answers gateways, and
`operator_requests` answers operators, with `proposal_queue`, `membership_requests` and `status`. `config_watcher` is a
gateway's client of the group, with `member_dialer` and `config_publisher`; `operator_client` is the operator's.
"""

from pebblehinge.replicated_config.leases import Leases
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.replicated_config.version_application import VersionApplication

__all__ = ["ConfigState", "Leases", "VersionApplication"]
