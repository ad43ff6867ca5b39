"""What lives for one link between processes: messages, codec, views."""
