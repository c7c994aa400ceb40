#!/bin/sh
# The stand-ins are plain Python; building them is compiling them.
exec python3 -m compileall -q "$(dirname "$0")"
