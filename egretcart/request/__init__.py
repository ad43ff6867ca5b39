"""Types that last for one submission: job, progress, verdict, reply."""
