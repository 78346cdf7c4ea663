#!/usr/bin/env bash
# beside.sh BIN SEED [OPTION...]: plays SEED twice at the same time, as two
# worktrees of one machine do.  Guards against runs that take each other's
# addresses or ports.
set -uo pipefail
bin=$1
seed=$2
shift 2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
pids=()
for run in 1 2; do
    mkdir "$dir/$run"
    "$bin/gatesoak" "$bin/boragespur-gateway" "$dir/$run" "$seed" "$@" \
        >"$dir/$run/out" 2>&1 &
    pids+=($!)
done
failed=0
for run in 1 2; do
    if ! wait "${pids[run - 1]}"; then
        failed=1
        echo "FAILED run $run"
    fi
    cat "$dir/$run/out"
done
exit $failed
