#!/usr/bin/env bash
# Prepares what the scripts of the cases start. The stand-ins are Python programs, which need no build; the programs of
# the system come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, pathlib, sys
for path in pathlib.Path(".").rglob("*.py"): ast.parse(path.read_text(), str(path))'
for program in balancer control; do
  [ -x "../target/fighatch-platform-$program" ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
done
