"""Validated models of settings, settings branches, requests and responses."""
