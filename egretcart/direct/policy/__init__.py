"""Decisions under load, free of I/O: each names the load that it handles."""
