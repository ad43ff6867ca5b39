"""What lives for one accepted configuration or standing order."""
