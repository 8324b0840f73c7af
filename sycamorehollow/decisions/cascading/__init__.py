"""Choice of the versions a request tries, and their estimated quality."""
