"""Adapter to the users' platform: its settings, store and HTTP headers.

Names that the platform defines are used in this package only.
"""
