"""Runs the command line as the release before did.

The fields and messages of this release are taken off the wire: they are
neither written nor read.
"""

import sys

from egretcart.connection.codec import WIRE_STRUCTS
from egretcart.process.cli import main

FIELDS_OF_THIS_RELEASE = {
    "Fence": ("by_query",),
    "FenceReply": ("by_query", "newest_job_ms"),
    "TaskResult": ("round", "stamp_us"),
    "Start": ("round", "proven_stamp_us"),
    "Message": ("ledger_query", "ledger_reply"),
}


def take_off_the_wire():
    for struct_name, names in FIELDS_OF_THIS_RELEASE.items():
        spec = getattr(WIRE_STRUCTS, struct_name).thrift_spec
        for number, field in list(spec.items()):
            if field[1] in names:
                del spec[number]


if __name__ == "__main__":
    take_off_the_wire()
    sys.exit(main())
