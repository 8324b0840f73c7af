"""Decisions of duties that one node carries out for all."""
