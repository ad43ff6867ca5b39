#!/bin/sh
# Builds the stand-ins of cases 6 to 9. They are scripts of the standard
# library, so that only their syntax is checked; nothing is written.
cd "$(dirname "$0")" || exit 2
exec python3 -B - lib-2/harness.py 6/case.py 7/case.py 8/case.py \
    9/case.py <<'END'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
    print("checked", name)
END
