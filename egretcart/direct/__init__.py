"""Direct dispatch: jobs that need not outlive their caller's request.

Each entry sends the tasks of the jobs that it has accepted directly to
agents, and each agent is the admission controller of its backend server's
capacity. There is no leader that could be lost. docs/design/platform.md
compares this design with one leader in each cell.

The modules named ``*_process`` do the network I/O of entries and agents; the
logic that they call is free of I/O.
"""
