#!/bin/sh
# The stand-ins of the cases 4 to 8 are Python, of its standard library alone: checks that they
# compile with the Python of this machine.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 -c '
import pathlib
for file in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(file.read_text(), str(file), "exec")
'
