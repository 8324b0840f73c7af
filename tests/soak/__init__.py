"""Randomized soak of the gateway: real processes, faults from outside them."""
