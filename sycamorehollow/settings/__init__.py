"""Validated models of settings, the settings tree and request bodies."""
