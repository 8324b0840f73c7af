"""Bounded benches; figures are counts or simulated time."""
