"""Choice of upstreams by load, cold starts and cached prefixes; admission."""
