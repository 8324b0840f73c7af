"""The gateway: forwards requests by route to upstreams."""
