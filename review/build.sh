#!/bin/sh
# The stand-ins of the cases are Python files that need the standard library only, so
# there is nothing to build: this checks that they compile. Build the deploy file first.
cd "$(dirname "$0")/.." || exit 2
for file in review/*.py review/*/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 1
done
