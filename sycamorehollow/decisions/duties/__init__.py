"""Duties that one node performs for all nodes."""
