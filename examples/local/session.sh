#!/usr/bin/env bash
# Tests three real daemons: a stream, a keyed call to two VMs, a drain, SIGTERM during a stream, kill -9.
# Exit code 1 if a check fails.
set -euo pipefail
source "$(dirname "$0")/common.sh"
export CORNELWHARF_AT=127.0.0.1:17001,127.0.0.1:17002,127.0.0.1:17003
failed=0
auth="authorization: Bearer token-of-web"

check() {
    if [ "$2" = "$3" ]; then
        echo "[ok] $1"
    else
        echo "[FAILED] $1: expected '$3', saw '$2'"
        failed=1
    fi
}

# With this seed the answer reaches the token limit, so the stream lasts some seconds.
seed=5
tokens=240

# stream PORT: prints the events of a streamed completion.
stream() {
    curl -sN -m 50 "http://127.0.0.1:$1/v1/completions" -H "$auth" -H 'content-type: application/json' \
        -d "{\"model\":\"chat\",\"prompt\":\"Write a letter.\",\"max_tokens\":$tokens,\"seed\":$seed,\"stream\":true}"
}

# text: reads events and prints their text.
text() {
    sed -n 's/^data: .*"text":"\([^"]*\)".*/\1/p' | tr -d '\n'
}

credit() {
    curl -s -m 20 "http://127.0.0.1:$1/v1/services/ledger/credits" -H "$auth" \
        -H 'idempotency-key: credit-4711' -d '{"account":"a-17","cents":1250}'
}

effects() {
    cat <(curl -s -m 5 http://127.0.0.1:17301/effects) <(curl -s -m 5 http://127.0.0.1:17302/effects) |
        grep -o '"count":[0-9]*' | cut -d: -f2 | paste -sd+ - | bc
}

# drained PORT: prints the state of the endpoint head-1 at a VM.
drained() {
    CORNELWHARF_TOKEN=token-of-ada "$bin/cornelwharf" status --at "127.0.0.1:$1" |
        awk '$1 == "head-1" { print $4 }'
}

is_drained() {
    [ "$(drained "$1")" = drained ]
}

trap '"$here/down.sh"' EXIT
"$here/down.sh"
"$here/up.sh"

echo "== a stream through three stages"
whole=$(stream 17001 | text)
echo "$whole"
check "it has all its tokens" "${#whole}" "$tokens"
check "the same request gives the same answer on another VM" "$(stream 17002 | text)" "$whole"

echo "== a keyed call, sent to two VMs"
first=$(credit 17001)
check "both VMs give the same answer" "$(credit 17003)" "$first"
check "it took effect once" "$(effects)" 1

echo "== a drain"
control ada drain head-1
for i in 1 2 3; do
    wait_for 3 is_drained "1700$i" || true
    check "vm-$i holds head-1 drained within 3 s" "$(drained "1700$i")" drained
done
hops=$(curl -s http://127.0.0.1:17201/ledger)
check "a stream is whole without it" "$(stream 17002 | text)" "$whole"
check "it ran nothing meanwhile" "$(curl -s http://127.0.0.1:17201/ledger)" "$hops"

echo "== SIGTERM to vm-3 with a stream running"
stream 17003 >"$run/stream" &
reader=$!
wait_for 5 grep -q '^data:' "$run/stream"
kill -TERM "$(cat "$run/vm-3.pid")"
echo "events when it was told to stop: $(grep -c '^data:' "$run/stream")"
code=0
wait "$reader" || code=$?
check "the stream was not cut" "$code" 0
check "the stream is whole" "$(text <"$run/stream")" "$whole"
gone() { ! kill -0 "$(cat "$run/vm-3.pid")" 2>/dev/null; }
stopped=yes
wait_for 30 gone || stopped=no
check "vm-3 ended by itself" "$stopped" yes
rm -f "$run/vm-3.pid"

echo "== kill -9 to vm-1 right after it accepted a drain"
CORNELWHARF_AT=127.0.0.1:17001 control ada drain body-1
kill -9 "$(cat "$run/vm-1.pid")"
rm -f "$run/vm-1.pid"
holds() {
    CORNELWHARF_TOKEN=token-of-ada "$bin/cornelwharf" status --at "127.0.0.1:$1" |
        awk '$1 == "body-1" { print $4 }'
}
has() { [ "$(holds "$1")" = drained ]; }
wait_for 3 has 17002 || true
check "vm-2 holds the accepted drain within 3 s" "$(holds 17002)" drained
start vm-1 "$bin/cornelwharfd" "$here/vm-1.yaml"
wait_for 20 ready 1
check "vm-1, started anew with nothing kept, holds it too" "$(holds 17001)" drained
check "vm-1 serves the same stream again" "$(stream 17001 | text)" "$whole"
check "the credit still took effect once" "$(credit 17001 >/dev/null; effects)" 1

exit "$failed"
