"""Direct dispatch: jobs that need not outlive their caller's request.

Each entry sends the tasks of the jobs that it holds straight to agents, and
each agent arbitrates the room of its backend server. There is no leader
that could be lost. docs/design/platform.md weighs this against one leader a
cell.

The modules named ``*_process`` move bytes; all others are free of I/O.
"""
