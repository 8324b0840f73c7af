"""Decisions about forwarded requests, without I/O."""
