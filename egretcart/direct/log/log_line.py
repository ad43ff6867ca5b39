"""Log lines of any process, parsed."""

import dataclasses
import json
from typing import Any

MESSAGE_PREFIX = "egretcart:"
LINE_START = '{"message_type"'
HIDDEN_FIELDS = (
    "timestamp",
    "process",
    "message_type",
    "task_uuid",
    "task_level",
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One log line of a process.

    Attributes
    ----------
    at : float
        Unix time in seconds, by the clock of the process's machine.
    process : str
        Name of the process that wrote the line.
    kind : str
        Class name of the decision.
    fields : dict
        All fields of the line.
    """

    at: float
    process: str
    kind: str
    fields: dict[str, Any]

    @property
    def process_ids(self) -> frozenset[str]:
        """The process that wrote the line, and those that it names."""
        found = (self.fields.get(key) for key in ("agent", "entry", "peer"))
        return frozenset((self.process, *(name for name in found if name)))

    def text(self, start: float) -> str:
        """Return the line as printed, with its time since `start`."""
        shown = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in HIDDEN_FIELDS and name != "job_id" and value != ""
        )
        offset_ms = (self.at - start) * 1000
        return f"{offset_ms:9.1f} ms  {self.process}  {self.kind}  {shown}"


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None if the text is not one.

    Only the last line counts in a text that several processes wrote at once.
    """
    start = max(text.find("{"), text.rfind(LINE_START))
    if start < 0:
        return None
    try:
        fields: dict[str, Any] = json.loads(text[start:])
        kind = fields["message_type"].removeprefix(MESSAGE_PREFIX)
        return LogLine(
            at=float(fields["timestamp"]),
            process=fields["process"],
            kind=kind,
            fields=fields,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
