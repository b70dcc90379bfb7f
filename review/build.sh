#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python files, so this only compiles them;
# the system itself comes from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q harness.py [1-5]
