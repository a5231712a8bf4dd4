"""Clients and message formats of the platform that the system runs on.

One deployment uses the append-only log and the host list (`base`, `http_log`,
`http_hosts`, `wire`). The other uses the keyed store, the endpoints' run
interface and the advice service (`store`, `endpoint_client`, `advice`,
`documents`, `settings`) and serves callers by HTTP (`callers`).
"""
