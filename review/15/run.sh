#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")" || exit 2
exec timeout --kill-after=5 118 python3 case.py
