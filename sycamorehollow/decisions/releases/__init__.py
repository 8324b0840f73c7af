"""Roll-outs of versions and their stops."""
