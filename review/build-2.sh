#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10. They are Python and need no compiler;
# this checks that the interpreter has what they use and that they parse.
set -e
cd "$(dirname "$0")"
python3 - relay_bed.py 6/case.py 7/case.py 8/case.py <<'CHECK'
import sys
import tomllib  # Python 3.11
for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
CHECK
