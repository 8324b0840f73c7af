"""Wire messages between entry processes."""
