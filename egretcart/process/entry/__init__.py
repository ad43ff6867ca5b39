"""Entries: requests of callers, links to other entries, and kept answers."""
