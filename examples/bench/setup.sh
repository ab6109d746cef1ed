#!/usr/bin/env bash
# Starts stand-ins and daemons and brings their configuration into force.
# Usage: setup.sh DIR BIN [DAEMONS [ENGINES [SERVICES [STAGES]]]]
# Writes site, settings and intent files into DIR and the process ids into DIR/pids (the daemons' into
# DIR/daemons), and returns when every daemon serves. stop.sh DIR kills these processes. PORT is the
# first of the 1000 ports used.
set -euo pipefail
dir=$1 bin=$2 daemons=${3:-1} engines=${4:-6} services=${5:-1} stages=${6:-3}
base=${PORT:-21000} slots=${SLOTS:-16} step=${STEP:-5} layers=12
# A session runs in one stage at a time, so an engine can hold more sessions than its batch size.
sessions=${SESSIONS:-$((slots * stages * 3 / 2))}
domains=(north middle south)
mkdir -p "$dir"
digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
caller() { echo "127.0.0.1:$((base + $1))"; }

vms() {
    local i
    echo "vms:"
    for ((i = 1; i <= daemons; i++)); do
        echo "  - {vm: vm-$i, domain: ${domains[i % 3]}, caller: '$(caller "$i")', peer: '127.0.0.1:$((base + 100 + i))', leaving: false}"
    done
}

# Prints an engine's layer range. Engines are assigned to the stages round-robin.
range() {
    local stage=$(($1 % stages)) width=$((layers / stages))
    echo "{from: $((stage * width)), to: $(((stage + 1) * width))}"
}

site() {
    echo "platform: 127.0.0.1:$((base + 900))"
    vms
}

engine_site() {
    local i
    echo "engines:"
    for ((i = $1; i < engines; i += $2)); do
        echo "  - {addr: '127.0.0.1:$((base + 200 + i))', layers: $(range "$i"), total: $layers, slots: $slots, step: $step}"
    done
}

service_site() {
    echo "services: ['127.0.0.1:$((base + 500 + $1))']"
}

intent() {
    local i
    cat <<YAML
services:
  - {name: chat, kind: {model: {layers: $layers, version: v1}}}
  - {name: ledger, kind: {plain: {}}}
operators: [{name: ada, token: '$(digest ada)'}]
owners: [{name: owner, token: '$(digest owner)'}]
teams:
  - {name: counter, token: '$(digest counter)', priority: urgent, weight: 2}
  - {name: web, token: '$(digest web)'}
  - {name: batch, token: '$(digest batch)', priority: batch}
grants:
  - {team: counter, service: chat}
  - {team: counter, service: ledger}
  - {team: web, service: chat}
  - {team: web, service: ledger}
  - {team: batch, service: chat}
endpoints:
YAML
    for ((i = 0; i < engines; i++)); do
        echo "  - {name: engine-$i, addr: '127.0.0.1:$((base + 200 + i))', domain: ${domains[i % 3]}, owner: owner, service: chat, layers: $(range "$i"), slots: $sessions, rate: $((slots * 1000 / step))}"
    done
    for ((i = 0; i < services; i++)); do
        echo "  - {name: ledger-$i, addr: '127.0.0.1:$((base + 500 + i))', domain: ${domains[i % 3]}, owner: owner, service: ledger, slots: ${LEDGER_SLOTS:-1024}}"
    done
}

settings() {
    cat <<YAML
vm: vm-$1
domain: ${domains[$1 % 3]}
caller: $(caller "$1")
peer: 127.0.0.1:$((base + 100 + $1))
platform: 127.0.0.1:$((base + 900))
secret: a-secret-of-this-trial
operators: [{name: ada, token: '$(digest ada)'}]
level: warn
YAML
}

start() {
    local list=$1 log=$2
    shift 2
    "$@" >"$dir/$log.log" 2>&1 &
    echo $! >>"$dir/$list"
}

ask() {
    curl -sS --fail-with-body --max-time 20 -H "authorization: Bearer $1" "${@:3}" "http://$(caller 1)/v1/operate/$2" && echo
}

ready() {
    for ((try = 0; try < 300; try++)); do
        curl -sf --max-time 1 "http://$(caller "$1")/readyz" >/dev/null && return
        sleep 0.1
    done
    echo "vm-$1 is not ready" >&2
    exit 1
}

# Retries a request until it is accepted, as a daemon may refuse it shortly after its start.
retry() {
    for ((try = 0; try < 50; try++)); do
        "$@" >"$dir/reply.json" 2>>"$dir/retries.log" && cat "$dir/reply.json" && return
        sleep 0.2
    done
    echo "given up: $*" >&2
    exit 1
}

site >"$dir/platform.yaml"
intent >"$dir/intent.yaml"
start pids platform "$bin/standin" all "$dir/platform.yaml"
for ((i = 0; i < ${ENGINE_PROCESSES:-2}; i++)); do
    engine_site "$i" "${ENGINE_PROCESSES:-2}" >"$dir/engines-$i.yaml"
    start pids "engines-$i" "$bin/standin" all "$dir/engines-$i.yaml"
done
for ((i = 0; i < services; i++)); do
    service_site "$i" >"$dir/service-$i.yaml"
    start pids "service-$i" "$bin/standin" all "$dir/service-$i.yaml"
done
for ((i = 1; i <= daemons; i++)); do
    settings "$i" >"$dir/vm-$i.yaml"
    start daemons "vm-$i" "$bin/cornelwharfd" "$dir/vm-$i.yaml"
done
for ((i = 1; i <= daemons; i++)); do ready "$i"; done
retry ask ada plans --data-binary "@$dir/intent.yaml" >"$dir/plan.json"
plan=$(sed -n 's/.*"id":"\([0-9a-f]*\)".*/\1/p' "$dir/plan.json" | head -1)
retry ask ada "plans/$plan/confirm" -X POST >"$dir/confirm.json"
for grant in counter/chat counter/ledger web/chat web/ledger batch/chat; do
    body="{\"team\":\"${grant%/*}\",\"service\":\"${grant#*/}\",\"on\":true}"
    retry ask owner approvals -d "$body" >>"$dir/approvals.json"
done
sleep 3
