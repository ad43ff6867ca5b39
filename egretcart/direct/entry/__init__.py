"""The entry: accepts callers' jobs and sends their tasks to agents."""
