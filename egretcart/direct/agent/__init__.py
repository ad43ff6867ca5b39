"""The agent: admits tasks to one backend server and watches their runs."""
