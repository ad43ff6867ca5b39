"""Entries: requests of callers, links to other entries, cached answers."""
