"""What lives for one accepted configuration version."""
