"""The operators' commands and the interface that they use."""
