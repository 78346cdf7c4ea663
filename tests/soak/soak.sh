#!/usr/bin/env bash
# soak.sh BIN SEED COUNT [OPTION...]: plays COUNT seeds from SEED, JOBS at a
# time; keeps the logs of those that fail below $SOAK_LOGS.
set -uo pipefail
bin=$1
first=$2
count=$3
shift 3
jobs=${JOBS:-4}
logs=${SOAK_LOGS:-$(mktemp -d)}
mkdir -p "$logs"
export bin logs
play() {
    seed=$1
    shift
    dir=$(mktemp -d)
    if "$bin/gatesoak" "$bin/boragespur-gateway" "$dir" "$seed" "$@" \
        >"$dir/out" 2>&1; then
        tail -n 3 "$dir/out"
    else
        cat "$dir/out"
        rm -rf "$logs/$seed"
        cp -r "$dir" "$logs/$seed"
        echo "FAILED seed $seed"
    fi
    rm -rf "$dir"
}
export -f play
out=$(seq "$first" $((first + count - 1)) |
    xargs -P "$jobs" -I{} bash -c 'play "$@"' _ {} "$@")
echo "$out"
failed=$(grep -c '^FAILED' <<<"$out")
echo "$((count - failed)) passed, $failed failed"
[ "$failed" = 0 ]
