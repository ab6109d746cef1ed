# Functions shared by the scripts of this folder; sourced, not run.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
bin=${BIN:-$here/../../target/release}
run=${RUN:-$here/../../target/local}

# start NAME COMMAND...: starts a process and writes its log and process id under $run.
start() {
    local name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    echo $! >"$run/$name.pid"
}

# wait_for SECONDS COMMAND...: waits until a command succeeds.
wait_for() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}

# ready NUMBER: succeeds if a daemon is ready.
ready() {
    curl -sf -m 2 "http://127.0.0.1:1700$1/readyz"
}

# control NAME ARGUMENTS...: runs the cornelwharf command with the token of an operator or owner.
control() {
    local name=$1
    shift
    CORNELWHARF_TOKEN=token-of-$name "$bin/cornelwharf" "$@"
}
