"""What operators order: configuration, drains, loads, shutdown."""
