"""Load generator for a deployment, and reports of the measurements."""
