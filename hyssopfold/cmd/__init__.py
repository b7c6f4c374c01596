"""Thin commands, one module for each program."""
