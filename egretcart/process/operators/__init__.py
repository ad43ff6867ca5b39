"""The operators' commands and the HTTP API that they use."""
