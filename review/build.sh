#!/bin/sh
# Build every stand-in that a case starts: they are Python files of the standard library, so they are compiled only.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -c '
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
' review/standins/*.py review/[0-9]/*.py
