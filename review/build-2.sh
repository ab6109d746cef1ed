#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs of the standard library only, so
# there is nothing to compile: this checks that the interpreter is there and reads them. The program under
# test is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "the cases 6 to 10 need python3" >&2; exit 1; }
python3 - <<'PY'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later"
for path in [pathlib.Path("rig-2/rig.py"), *sorted(pathlib.Path(".").glob("[0-9]*/case.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("read", path)
PY
