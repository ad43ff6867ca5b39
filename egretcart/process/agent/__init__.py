"""Agents beside backend servers: admission, ledger and leases."""
