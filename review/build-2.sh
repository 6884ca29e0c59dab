#!/bin/sh
# The stand-ins of this review need the standard library only; this compiles them.
cd "$(dirname "$0")/.." || exit 1
exec python3 -c '
import ast, pathlib, sys
for folder in ("common_2", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path("review", folder).glob("*.py")):
        ast.parse(path.read_text(), str(path))
'
