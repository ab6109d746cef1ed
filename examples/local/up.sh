#!/usr/bin/env bash
# Starts the stand-ins and three daemons on this machine, plans, confirms and approves.
set -euo pipefail
source "$(dirname "$0")/common.sh"
mkdir -p "$run"
export CORNELWHARF_AT=127.0.0.1:17001,127.0.0.1:17002,127.0.0.1:17003

start standin "$bin/standin" all "$here/site.yaml"
for i in 1 2 3; do
    start "vm-$i" "$bin/cornelwharfd" "$here/vm-$i.yaml"
done
for i in 1 2 3; do
    wait_for 20 ready "$i" || { echo "vm-$i is not ready, see $run/vm-$i.log" >&2; exit 1; }
done

plan=$(control ada plan "$here/intent.yaml" --output json | sed -n 's/^    "id": "\(.*\)",$/\1/p')
control ada confirm "$plan"
control oak approve --team web --service chat
control elm approve --team web --service ledger
control ada status
