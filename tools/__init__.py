"""Development tools of the repository."""
