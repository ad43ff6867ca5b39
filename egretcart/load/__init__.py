"""Load for a deployment, and the measures taken under it."""
