#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start: they are Python of the standard
# library only, so this checks that each of them compiles and can be imported.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast
from pathlib import Path

for path in sorted(Path("review").glob("rig/*.py")) + sorted(Path("review").glob("[4-8]/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
PYTHONDONTWRITEBYTECODE=1 python3 -c "import review.rig.clients, review.rig.fleet, review.rig.runners"
