#!/usr/bin/env bash
# Stops what up.sh started, and nothing else.
set -euo pipefail
source "$(dirname "$0")/common.sh"
for file in "$run"/*.pid; do
    [ -e "$file" ] || continue
    kill -9 "$(cat "$file")" 2>/dev/null || true
    rm "$file"
done
