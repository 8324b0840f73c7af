"""Replicated state of entry processes, and their membership."""
