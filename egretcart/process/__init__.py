"""Entry and agent processes: their decision logic and their I/O."""
