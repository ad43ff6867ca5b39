"""What lives for one connection: messages, codec, framing, HTTP."""
