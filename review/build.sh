#!/bin/sh
# Nothing is compiled: the stand-ins in review/lib need the standard library
# alone, and the processes of the system run from what the build of the deploy
# file has put under target/. This checks that all of it is there.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -d target/deps/trio
for file in review/lib/world.py review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
