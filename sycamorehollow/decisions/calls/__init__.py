"""At-most-once execution of non-idempotent calls, by key or ticket."""
