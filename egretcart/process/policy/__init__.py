"""The leader's policy under load and faults, each part free of I/O."""
