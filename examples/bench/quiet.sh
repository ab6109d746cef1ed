#!/usr/bin/env bash
# Measures the memory of one daemon per idle open stream: its resident size before and while many
# streams wait for an engine that takes a minute per token. Usage: quiet.sh DIR BIN [STREAMS]
set -euo pipefail
here=$(dirname "$0") dir=$1 bin=$2 streams=${3:-5000} base=${PORT:-21000}
trap '"$here/stop.sh" "$dir"' EXIT
SLOTS=$((2 * streams)) STEP=60000 SESSIONS=$((2 * streams)) ENGINE_PROCESSES=1 \
    "$here/setup.sh" "$dir" "$bin" 1 1 1 1
cat >"$dir/quiet.yaml" <<YAML
name: quiet streams
seed: 1
span: 15000
patience: 20000
loops: $streams
entries: ['127.0.0.1:$((base + 1))']
classes:
  - {team: web, token: web, retries: 0, work: {completion: {model: chat, layers: 12, prompt: 16, tokens: 8, stream: true}}}
YAML
read -r daemon <"$dir/daemons"
resident() { awk '/VmRSS/ {print $2}' "/proc/$daemon/status"; }
before=$(resident)
"$bin/examples/bench" "$dir/quiet.yaml" >"$dir/quiet.log" &
sleep 12
after=$(resident)
open=$(find "/proc/$daemon/fd" -lname 'socket:*' | wc -l)
echo "$before $after $open $streams" |
    awk '{printf "%d KB before, %d KB with %d streams (%d sockets): %.1f KB a stream\n", $1, $2, $4, $3, ($2 - $1) / $4}'
