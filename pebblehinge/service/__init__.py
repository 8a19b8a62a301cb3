"""The gateway's front for the platform's HTTP/1.1 protocol.

`config` reads the settings, `listener` and `client_connection` serve clients, `connection_registry` admits requests and
bounds connections, `connection_pools` and `node_connection` carry attempts to storage nodes, `discovery` follows the
list of nodes, `shutdown` orders the end, and `server` joins them. Scheduling decisions are made in
`pebblehinge/decide/` alone; the limits in this package are those of the protocol.
"""
