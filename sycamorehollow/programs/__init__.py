"""The binaries of the router."""
