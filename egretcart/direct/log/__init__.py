"""Records of decisions, their log lines and their metrics."""
