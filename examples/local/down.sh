#!/usr/bin/env bash
# Stops the processes that up.sh started.
set -euo pipefail
source "$(dirname "$0")/common.sh"
for file in "$run"/*.pid; do
    [ -e "$file" ] || continue
    kill -9 "$(cat "$file")" 2>/dev/null || true
    rm "$file"
done
