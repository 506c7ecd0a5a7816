#!/usr/bin/env bash
# Checks what the scripts of review/11 to review/15 start. Their stand-ins are Python and need no build; the daemons are
# those that the build of deploy/system.toml leaves in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
for program in balancer control; do
  test -x "target/fighatch-platform-$program" || { echo "target/fighatch-platform-$program is missing: build the deploy file" >&2; exit 1; }
done
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import ast, pathlib, sys; [ast.parse(pathlib.Path(f).read_text()) for f in sys.argv[1:]]' \
  review/lib-3/standins.py review/1[1-5]/case.py
