#!/usr/bin/env bash
# Compares the calls per second through one daemon on one core with those of a direct connection
# to the same stand-in, measured alternately within one run. Usage: peak.sh DIR BIN [ROUNDS [LOADERS [LOOPS]]]
set -euo pipefail
here=$(dirname "$0") dir=$1 bin=$2 rounds=${3:-3} loaders=${4:-2} loops=${5:-48} base=${PORT:-21000}
trap '"$here/stop.sh" "$dir"' EXIT
"$here/setup.sh" "$dir" "$bin" 1 3 1

scenario() {
    cat <<YAML
name: peak, $1
seed: 1
span: 5000
warmup: 1000
loops: $loops
entries: ['$2']
classes: [{team: web, token: web, work: {plain: {path: $3}}}]
YAML
}

# Prints the processor time that a process has used, in seconds.
used() { awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) / hz}' "/proc/$1/stat"; }

# Runs several load processes at once and prints the sum of their rates.
measure() {
    local running=()
    for ((i = 0; i < loaders; i++)); do
        "$bin/examples/bench" "$dir/$1.yaml" --seed "$i" --report "$dir/$1-$i" >"$dir/$1-$i.log" &
        running+=($!)
    done
    wait "${running[@]}"
    sed -n 's/.*"goodput": \([0-9.]*\).*/\1/p' "$dir/$1"-?/report.json | awk '{s += $1} END {print s}'
}

scenario direct "127.0.0.1:$((base + 500))" /v1/services/ledger/x >"$dir/direct.yaml"
scenario daemon "127.0.0.1:$((base + 1))" /v1/services/ledger/x >"$dir/daemon.yaml"
read -r daemon <"$dir/daemons"
for ((round = 1; round <= rounds; round++)); do
    direct=$(measure direct)
    before=$(used "$daemon")
    through=$(measure daemon)
    after=$(used "$daemon")
    echo "$direct $through $before $after" | awk -v round="$round" \
        '{used = $4 - $3; printf "round %d: direct %.0f/s, daemon %.0f/s, ratio %.3f, daemon used %.2f of a core: %.0f calls per core second\n", round, $1, $2, $2 / $1, used / 5, $2 * 5 / used}'
done
