"""Counts of the messages that a process exchanges with others."""

from collections import Counter
from collections.abc import Iterable


class TrafficCounters:
    """Plain counts, shared by all links of a process.

    Attributes
    ----------
    messages : Counter of type
        Messages sent, by their class.
    frames_sent, bytes_sent, bytes_received : int
    """

    def __init__(self) -> None:
        self.messages: Counter[type] = Counter()
        self.frames_sent = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    def sent(self, batch: Iterable[object], size: int) -> None:
        """Count a frame that is sent.

        Parameters
        ----------
        batch : iterable of messages
        size : int
            Bytes of the frame.
        """
        self.messages.update(map(type, batch))
        self.frames_sent += 1
        self.bytes_sent += size
