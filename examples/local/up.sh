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

# The VM refuses changes until it has heard from most of the others.
all_known() { control ada status | grep -qx 'vms: vm-1 vm-2 vm-3'; }
wait_for 20 all_known
until control ada plan "$here/intent.yaml" --output json >"$run/plan.json"; do sleep 0.2; done
plan=$(sed -n 's/^    "id": "\(.*\)",$/\1/p' "$run/plan.json")
control ada confirm "$plan"
control oak approve --team web --service chat
control elm approve --team web --service ledger
control ada status
