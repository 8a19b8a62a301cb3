"""The head in service on the platform's protocol: another entrance and exit of the same core. `config` is what it is
told, `clients` the door, `shelfs` the pool of connections and the attempts on them, `discovery` the watch of the list,
`server` joins them. Decisions are in `pebblehinge/decide/` alone; what stands here are bounds of the protocol."""
