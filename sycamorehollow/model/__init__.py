"""Data classes and typed failures that every other part shares."""
