"""What lives for one job: its types, tasks, claims and progress."""
