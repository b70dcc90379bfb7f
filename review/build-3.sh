#!/bin/sh
# The stand-ins of cases 11 to 15 are plain Python of the standard library, in
# fleet_3.py and in the folders of the cases: there is nothing to compile. This checks
# that they can be loaded, and needs no network.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
from pathlib import Path
for path in [Path("fleet_3.py"), *sorted(Path().glob("1[1-5]/case.py"))]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
