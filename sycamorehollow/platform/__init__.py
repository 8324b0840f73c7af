"""Adapter to the users' platform: its settings, store and HTTP headers.

Nothing outside this package knows a name of the platform.
"""
