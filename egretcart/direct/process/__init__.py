"""What entries and agents share: settings, the store's state, metrics."""
