"""What lives for one submission: identity, job, task, verdict, problem."""
