"""Scheduling and fault policies of a cell's leader; no module does I/O."""
