#!/usr/bin/env bash
# Kills the processes that setup.sh started, by process id. Usage: stop.sh DIR
set -uo pipefail
for list in daemons pids; do
    [ -f "$1/$list" ] || continue
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$1/$list"
    rm -f "$1/$list"
done
