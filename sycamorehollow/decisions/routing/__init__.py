"""Where an attempt runs: upstreams, their load, cold starts and prefixes."""
