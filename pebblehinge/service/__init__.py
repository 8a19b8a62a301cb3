"""The gateway's frontend for the platform's HTTP/1.1 protocol.

`config` reads the configuration, `listener` and `client_connection` serve clients, `connection_registry` admits
requests and limits the connections, `connection_pools` and `node_connection` send attempts to storage nodes,
`discovery` watches the node list, `shutdown` controls the graceful shutdown, and `server` connects these parts.
Scheduling decisions are made in `pebblehinge/decide/` alone; the limits in this package are those of the protocol.
"""
