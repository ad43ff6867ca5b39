"""Settings of processes, as their files have them."""

SETTINGS = {
    "node": "entry-1",
    "host": "127.0.0.1",
    "failure_domain": "zone-1",
    "peer_port": 7000,
    "store": "127.0.0.1:1",
    "seeds": ["127.0.0.1:1"],
    "callers": "127.0.0.1:2",
    "readiness": "127.0.0.1:3",
}
