#!/usr/bin/env bash
# Plays the case; exit code 1 if the rule is broken, 0 if it holds, 2 if the case could not run. TROUBLE=0: without the
# disruption.
set -u
cd "$(dirname "$0")"
exec python3 play.py
