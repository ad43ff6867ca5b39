"""Direct dispatch: jobs that need not outlive their caller's request.

Callers submit jobs to entries. Each entry sends the tasks of the jobs that
it has accepted directly to agents. Each agent has one backend server, which
runs the tasks, and is the admission controller of that server's capacity.
There is no leader that could be lost. docs/design/platform.md compares this
design with one leader in each cell.

The modules named ``*_process`` do the network I/O of entries and agents; the
logic that they call is free of I/O.
"""
