#!/bin/sh
# Compiles the stand-ins of the cases; the system is built by the deploy file.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q .
