#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
command -v python3 >/dev/null 2>&1 || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 "$(dirname "$0")/case.py"
