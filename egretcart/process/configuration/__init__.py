"""The accepted configuration: stored, told and followed."""
