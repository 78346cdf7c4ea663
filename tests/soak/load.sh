#!/usr/bin/env bash
# load.sh BIN [OPTION...]: loads gateways before the soak's stand-ins, without
# faults, and prints what callers saw.
set -euo pipefail
bin=$1
shift
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
"$bin/gatesoak" "$bin/boragespur-gateway" "$dir" "${SEED:-1}" --calm "$@"
