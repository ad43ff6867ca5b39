"""Runs the command line with the wire format of the previous release.

The fields and messages that are new in this release are removed from the
wire structs: they are neither written nor read.
"""

import sys

from egretcart.connection import wire_structs
from egretcart.process.cli import main

NEW_FIELDS_BY_STRUCT = {
    "Fence": ("by_query",),
    "FenceReply": ("by_query", "newest_job_ms"),
    "TaskResult": ("round", "stamp_us"),
    "Start": ("round", "proven_stamp_us"),
    "Message": ("ledger_query", "ledger_reply"),
}


def remove_new_fields():
    for struct_name, names in NEW_FIELDS_BY_STRUCT.items():
        spec = getattr(wire_structs, struct_name).thrift_spec
        for number, field in list(spec.items()):
            if field[1] in names:
                del spec[number]


if __name__ == "__main__":
    remove_new_fields()
    sys.exit(main())
