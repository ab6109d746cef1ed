#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run.
command -v python3 >/dev/null || exit 2
exec python3 "$(dirname "$0")/case.py"
