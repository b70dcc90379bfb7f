#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
PYTHONPATH=target/deps python3 "$here/case.py"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
