#!/usr/bin/env bash
# Runs four gateways with a simulated store and six simulated upstreams under
# load for three seconds, then explains one request from their logs.
#
# usage: gateway.sh BIN_DIRECTORY
# Exits with 0 if the soak and the command succeeded, not 0 otherwise.
set -euo pipefail

BIN=$(cd "$1" && pwd)
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT

echo
echo "Four gateways on loopback, a simulated store and six upstreams, 3 s:"
"$BIN/gatesoak" "$BIN/boragespur-gateway" "$WORK" 1 --calm --seconds 3 \
    --rate 100
echo
echo "Request r20, explained from the logs:"
cat "$WORK"/*.log | "$BIN/boragespur" explain --log - r20
