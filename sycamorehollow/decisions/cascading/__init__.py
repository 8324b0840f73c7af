"""Which versions a request tries, and what is learned of their answers."""
