"""Types for one submission: its job, progress, verdict and reply."""
