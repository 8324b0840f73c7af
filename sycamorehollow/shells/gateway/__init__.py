"""The gateway, which forwards requests to upstreams by route."""
