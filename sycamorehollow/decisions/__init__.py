"""Decision rules without I/O."""
