"""Non-idempotent calls: at most one run, by key or ticket."""
