"""Counters of the messages, frames and bytes that a process exchanges."""

from collections import Counter
from collections.abc import Iterable


class TrafficCounters:
    """Counters that all links of a process share.

    Attributes
    ----------
    messages : Counter of type
        Messages sent, by their class.
    frames_sent, bytes_sent, bytes_received : int
    options_refused : int
        Options of sockets that the operating system has refused to set.
    """

    def __init__(self) -> None:
        self.messages: Counter[type] = Counter()
        self.frames_sent = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.options_refused = 0

    def sent(self, batch: Iterable[object], size: int) -> None:
        """Count a frame as sent.

        Parameters
        ----------
        batch : iterable of messages
            Messages of the frame.
        size : int
            Length of the frame, in bytes.
        """
        self.messages.update(map(type, batch))
        self.frames_sent += 1
        self.bytes_sent += size
