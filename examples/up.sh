#!/usr/bin/env bash
# Runs a whole deployment on the loopback addresses of this machine: up.sh examples/threadbare
# The stand-ins and daemons run until this script is stopped.
set -euo pipefail
site=$1
bin=${BIN:-$(dirname "$0")/../target/release}
run=${RUN:-$(dirname "$0")/../target/$(basename "$site")}
pids=()
stop() { kill -9 "${pids[@]}" 2>/dev/null || true; }
trap stop EXIT

"$(dirname "$0")/settings.sh" "$site" "$run"
"$bin/standin" all "$site/site.yaml" >"$run/standin.log" 2>&1 &
pids+=($!)
for settings in "$run"/vm-*.yaml; do
    "$bin/cornelwharf" check "$settings"
    "$bin/cornelwharfd" "$settings" >"${settings%.yaml}.log" 2>&1 &
    pids+=($!)
done
first=$(sed -n 's/^caller: //p' "$run/vm-01.yaml")
until curl -sf -m 2 "http://$first/readyz" >/dev/null; do sleep 0.2; done

export CORNELWHARF_AT=$first CORNELWHARF_TOKEN=token-of-ada
# The VM refuses changes until it has heard from most of the others.
count=$(grep -vc '^#' "$site/vms.txt")
until [ "$("$bin/cornelwharf" status | sed -n 's/^vms: //p' | wc -w)" -eq "$count" ]; do sleep 0.2; done
until "$bin/cornelwharf" plan "$site/intent.yaml" >"$run/plan.txt"; do sleep 0.2; done
cat "$run/plan.txt"
"$bin/cornelwharf" confirm "$(sed -n 's/^confirm with: cornelwharf confirm //p' "$run/plan.txt")"
sed -n 's/^  owner \(.*\) has yet to approve team \(.*\) for service \(.*\)$/\1 \2 \3/p' "$run/plan.txt" |
    while read -r owner team service; do
        CORNELWHARF_TOKEN=token-of-$owner "$bin/cornelwharf" approve --team "$team" --service "$service"
    done
"$bin/cornelwharf" status
[ -n "${ONCE:-}" ] || wait
