"""Leadership of a cell: takeover, roster, jobs and their attempts."""
