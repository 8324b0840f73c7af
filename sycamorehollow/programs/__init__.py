"""Command-line programs: entry process, gateway, control and load tools."""
