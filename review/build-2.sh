#!/bin/sh
# Builds the stand-ins of the second review: they are Python modules of the standard library, and run from their
# sources with the interpreter that the deploy file's build has set up. This checks that all of them can be loaded.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
for source in review/standins2/*.py; do
    module=$(basename "$source" .py)
    PYTHONPATH=review .venv/bin/python -B -c "import standins2.$module" || exit 1
done
