#!/usr/bin/env bash
# Measures the tokens per second of one daemon on one core, in a closed loop, for pipelines of STAGES
# stages. The engines have more capacity than the daemon. Usage: tokens.sh DIR BIN STAGES [LOOPS]
set -euo pipefail
here=$(dirname "$0") dir=$1 bin=$2 stages=$3 loops=${4:-200} base=${PORT:-21000}
trap '"$here/stop.sh" "$dir"' EXIT
SLOTS=64 STEP=5 SESSIONS=1024 "$here/setup.sh" "$dir" "$bin" 1 $((4 * stages)) 1 "$stages"
cat >"$dir/tokens.yaml" <<YAML
name: tokens, $stages stages
seed: 1
span: 8000
warmup: 2000
loops: $loops
entries: ['127.0.0.1:$((base + 1))']
classes:
  - {team: web, token: web, work: {completion: {model: chat, layers: 12, prompt: 16, tokens: 64, stream: true}}}
YAML
read -r daemon <"$dir/daemons"
used() { awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) / hz}' "/proc/$daemon/stat"; }
"$bin/examples/bench" "$dir/tokens.yaml" --intent "$dir/intent.yaml" --report "$dir/report" >"$dir/tokens.log" &
load=$!
sleep 3
before=$(used)
sleep 4
after=$(used)
wait "$load"
tokens=$(sed -n 's/^  "tokens": \([0-9.]*\).*/\1/p' "$dir/report/report.json")
echo "$stages $tokens $before $after" | awk '{used = ($4 - $3) / 4
    printf "%d stages: %.0f tokens/s with %.2f of a core: %.0f tokens per core second\n", $1, $2, used, $2 / used}'
