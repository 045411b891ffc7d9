#!/bin/sh
# Checks the stand-ins that the scripts of cases 6 to 10 start. They are Python 3 programs of its
# standard library, so nothing is compiled; the edge itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - standins-2/*.py [6-9]/*.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} files are sound")
CHECK
