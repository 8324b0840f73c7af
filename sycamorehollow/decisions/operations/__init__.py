"""Operator actions: configuration, drains, engine orders, shutdown."""
