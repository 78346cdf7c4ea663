#!/usr/bin/env bash
# Four gateways before stand-ins of the platform's store and of six upstreams:
# three seconds of load, then the story of one request from their logs.
#
# usage: gateway.sh BIN_DIRECTORY
# Exit code 0 when everything was as it should be, 1 otherwise.
set -euo pipefail

BIN=$(cd "$1" && pwd)
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT

echo
echo "Four gateways on loopback, a store and six upstreams of our own, 3 s:"
"$BIN/gatesoak" "$BIN/boragespur-gateway" "$WORK" 1 --calm --seconds 3 \
    --rate 100
echo
echo "What the logs tell of the request r20:"
cat "$WORK"/*.log | "$BIN/boragespur" explain --log - r20
