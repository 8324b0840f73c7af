"""State that processes hold in common, and which of them run."""
