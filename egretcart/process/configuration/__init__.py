"""Storage, distribution and synchronization of the configuration."""
