"""The platform's key-value service and its clients."""
