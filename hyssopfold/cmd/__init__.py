"""Command lines, one module for each program."""
