#!/bin/sh
# With TROUBLE=0 the same is done without the disruption.
TROUBLE="${TROUBLE:-1}" exec python3 "$(dirname "$0")/case.py"
