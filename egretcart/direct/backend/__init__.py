"""What lives for one incarnation of a backend server."""
