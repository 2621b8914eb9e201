#!/bin/sh
# Builds what the scripts of the second review start besides the programs of the deploy file: their
# stand-ins are Python files without dependencies, so it only compiles them.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lib2/deployment.py
for script in 4 5 6 7 8; do
    [ ! -f "$script/case.py" ] || python3 -m py_compile "$script/case.py"
done
