#!/usr/bin/env bash
# The stand-ins are Python 3.11 with its standard library alone (review/standin); nothing has to be compiled.
# This checks that they can be read. The cases start no stand-in of the project's own.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
python3 -B - <<'PYTHON'
import ast, pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(), str(path))
PYTHON
