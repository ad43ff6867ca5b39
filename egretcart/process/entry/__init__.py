"""Entries: callers, other entries, and what an entry holds for them."""
