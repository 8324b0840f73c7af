"""Bills, from their commit at a peer to the store."""
