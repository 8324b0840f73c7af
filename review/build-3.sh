#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. They are
# Python without dependencies of their own; the project's store stand-in in
# tests/ is compiled as well.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q tests/platform_standins.py tests/floods.py \
    review/lib3 review/11 review/12 review/13 review/14 review/15
