#!/usr/bin/env bash
# Runs load on a fleet of daemons with model engines and services, with a fault during the run.
# Usage: fleet.sh DIR BIN SHARE FAULT [SECONDS [DAEMONS [ENGINES]]]
# SHARE is the offered token rate relative to the bound; FAULT is none, stage, daemon or log. TOKENS, PROMPT,
# STEP, SLOTS and SEED may be set in the environment.
set -euo pipefail
here=$(dirname "$0") dir=$1 bin=$2 share=$3 fault=$4
seconds=${5:-20} daemons=${6:-15} engines=${7:-39}
base=${PORT:-21000} tokens=${TOKENS:-32} prompt=${PROMPT:-16} stages=3
export SLOTS=${SLOTS:-4} STEP=${STEP:-20} ENGINE_PROCESSES=${ENGINE_PROCESSES:-3}
trap '"$here/stop.sh" "$dir"' EXIT
"$here/setup.sh" "$dir" "$bin" "$daemons" "$engines" 3 "$stages"

# Each token ends the answer with a probability of 1/97, so the mean answer is below `tokens`.
rate=$(awk -v share="$share" -v per="$((SLOTS * 1000 / STEP))" -v groups="$((engines / stages))" \
    -v tokens="$tokens" 'BEGIN { mean = 97 * (1 - (96 / 97) ^ tokens); print share * per * groups / mean }')

class() {
    echo "  - {team: $1, token: $1, rate: $2, retries: ${RETRIES:-2}, work: $3}"
}

faults() {
    case $fault in
    stage) echo "  - {at: $((seconds * 500)), addr: '127.0.0.1:$((base + 200))', body: '{\"crash\": true, \"down\": 600000}'}" ;;
    log) echo "  - {at: $((seconds * 300)), addr: '127.0.0.1:$((base + 900))', body: '{\"log\": \"down\"}'}" ;;
    esac
}

scenario() {
    cat <<YAML
name: fleet, share $share, fault $fault
seed: ${SEED:-1}
span: $((seconds * 1000))
warmup: 3000
discover: true
patience: 20000
entries: [$(for ((i = 1; i <= daemons; i++)); do printf "'127.0.0.1:%d', " $((base + i)); done)]
effects: ['127.0.0.1:$((base + 500))', '127.0.0.1:$((base + 501))', '127.0.0.1:$((base + 502))']
classes:
YAML
    local stream="{completion: {model: chat, layers: 12, prompt: $prompt, tokens: $tokens, stream: true}}"
    class counter "$(awk -v r="$rate" 'BEGIN { print r * 0.3 }')" "$stream"
    class web "$(awk -v r="$rate" 'BEGIN { print r * 0.4 }')" "$stream"
    class batch "$(awk -v r="$rate" 'BEGIN { print r * 0.3 }')" "${stream/true/false}"
    class counter 20 '{keyed: {path: /v1/services/ledger/credits}}'
    class web 50 '{plain: {path: /v1/services/ledger/sizes}}'
    [ "$fault" = none ] || [ "$fault" = daemon ] || { echo "faults:"; faults; }
}

scenario >"$dir/scenario.yaml"
if [ "$fault" = daemon ]; then
    read -r victim <"$dir/daemons"
    (sleep "$((seconds / 2))" && kill -9 "$victim") &
fi
"$bin/examples/bench" "$dir/scenario.yaml" --intent "$dir/intent.yaml" --report "$dir/report"
