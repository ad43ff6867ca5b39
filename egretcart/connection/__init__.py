"""Connections between processes: messages, codec, framing and HTTP."""
