#!/usr/bin/env bash
# play.sh FOLDER: plays the case in FOLDER.  TROUBLE=0 leaves the disruption
# out.  Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
number=$(basename "$folder")
export GATEWAY=$PWD/target/bin/boragespur-gateway
if [ ! -x "$GATEWAY" ] || [ ! -x "target/review/case-$number" ]; then
    echo "Build the deploy file and run review/build.sh first." >&2
    exit 2
fi
work=$(mktemp -d)
timeout --kill-after=5 118 "target/review/case-$number" "$folder" "$work"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then
    cp -r "$work" "$KEEP_LOGS"
fi
rm -rf "$work"
[ "$code" -le 1 ] || code=2
exit "$code"
