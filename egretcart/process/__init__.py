"""What lives for one process: its decision logic and its shells."""
