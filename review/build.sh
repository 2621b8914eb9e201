#!/bin/sh
# Builds the stand-ins of the cases: standard library only, so they are only compiled.
cd "$(dirname "$0")" && exec python3 -m compileall -q lib
