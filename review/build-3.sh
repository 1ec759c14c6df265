#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python programs without packages: those of
# `soak/` and `review/lib-3/`. Nothing is compiled; this checks that they can be run.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for it in [*pathlib.Path("soak").glob("*.py"), *pathlib.Path("review/lib-3").glob("*.py")]:
    compile(it.read_text(), str(it), "exec")
CHECK
