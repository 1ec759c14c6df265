#!/bin/sh
# The stand-ins of all scripts are Python files; nothing needs to be compiled.
set -e
cd "$(dirname "$0")/.."
python3 - review/lib/*.py review/[0-9]/*.py soak/http_io.py soak/store_model.py <<'PY'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
PY
