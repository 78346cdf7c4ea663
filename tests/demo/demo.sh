#!/usr/bin/env bash
# Starts a small fleet, sends four requests, and prints and checks the results.
#
# usage: demo.sh BIN_DIRECTORY
# Exits with 0 if all checks passed, 1 otherwise.
set -euo pipefail

BIN=$(cd "$1" && pwd)
ROOT=$(cd "$(dirname "$0")/../.." && pwd)
WORK=$(mktemp -d)
PIDS=()
FAILURES=0

stop_all() {
    local pid
    for pid in "${PIDS[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${PIDS[@]}"; do
        stop_one "$pid"
    done
    rm -rf "$WORK"
}

# stop_one PID: waits up to 5 s for the process to end, then kills it.
stop_one() {
    local tries
    for tries in $(seq 50); do
        kill -0 "$1" 2>/dev/null || return 0
        sleep 0.1
    done
    echo "Process $1 did not stop within 5 s and was killed."
    kill -9 "$1" 2>/dev/null || true
}
trap stop_all EXIT

# say TEXT: prints TEXT as an item of a list.
say() {
    echo "- $1"
}

# expect ACTUAL EXPECTED NAME: prints and counts a failure if they differ.
expect() {
    if [ "$1" != "$2" ]; then
        echo "! $3: expected '$2', saw '$1'"
        FAILURES=$((FAILURES + 1))
    fi
}

# start_standin NAME ARGUMENT...: starts a stand-in and sets PORT_OF_NAME.
start_standin() {
    local name=$1 tries
    shift
    "$BIN/standin" "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
    PIDS+=($!)
    for tries in $(seq 100); do
        [ -s "$WORK/$name.out" ] && break
        sleep 0.05
    done
    printf -v "PORT_OF_$name" %s "$(sed 's/.*://' "$WORK/$name.out")"
}

NEXT_PORT=$((20000 + $$ % 5000))

# free_port VARIABLE: sets VARIABLE to a port that is not in use.
free_port() {
    while (: >"/dev/tcp/127.0.0.1/$NEXT_PORT") 2>/dev/null; do
        NEXT_PORT=$((NEXT_PORT + 1))
    done
    printf -v "$1" %s "$NEXT_PORT"
    NEXT_PORT=$((NEXT_PORT + 1))
}

# write_settings NAME DATA_CENTRE REGION: writes the settings of an instance
# and sets CALLERS_OF_NAME, PEERS_OF_NAME and ADMIN_OF_NAME to its ports.
write_settings() {
    local callers peers admin
    free_port callers
    free_port peers
    free_port admin
    printf -v "CALLERS_OF_$1" %s "$callers"
    printf -v "PEERS_OF_$1" %s "$peers"
    printf -v "ADMIN_OF_$1" %s "$admin"
    cat >"$WORK/$1.yaml" <<SETTINGS
name: $1
data_centre: $2
region: $3
callers: 127.0.0.1:$callers
peers: 127.0.0.1:$peers
admin: 127.0.0.1:$admin
platform: ["http://127.0.0.1:$PORT_OF_platform"]
secret: demo-secret-of-the-fleet
fresh_fleet: true
SETTINGS
}

start_daemon() {
    "$BIN/boragespurd" "$WORK/$1.yaml" 2>"$WORK/$1.log" &
    PIDS+=($!)
}

wait_ready() {
    local admin="ADMIN_OF_$1" tries
    for tries in $(seq 200); do
        curl -sf -m 2 -o /dev/null "http://127.0.0.1:${!admin}/readyz" &&
            return 0
        sleep 0.1
    done
    echo "! $1 did not become ready"
    cat "$WORK/$1.log"
    exit 1
}

publish() {
    curl -sf -X PUT "http://127.0.0.1:$PORT_OF_platform/control/keys/$1" \
        --data-binary "@$2" -o /dev/null
}

# call INSTANCE PATH ARGUMENT...: sends a request with curl; sets STATUS and
# OUTCOME and writes the body to the file answer.
call() {
    local port="CALLERS_OF_$1" path=$2
    shift 2
    STATUS=$(curl -sN -m 30 -D "$WORK/head" -o "$WORK/answer" \
        -w '%{http_code}' "http://127.0.0.1:${!port}$path" "$@") || true
    OUTCOME=$(tr -d '\r' <"$WORK/head" |
        sed -n 's/^Boragespur-Outcome: //Ip')
}

count_runs() {
    curl -sf "http://127.0.0.1:$PORT_OF_bookings/control/runs" |
        grep -o '"key":"demo-visit-1"' | wc -l
}

field() {
    sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p" "$WORK/answer"
}

echo "Starting"
start_standin platform platform
start_standin e1 engine --model blade-8b@3 --rate 100
start_standin e2 engine --model blade-8b@3 --rate 100
start_standin bookings service --name bookings
say "Two model engines (data centres n1 and s1), a bookings service and the \
configuration service are up."
write_settings a n1 north
write_settings b n1 north
write_settings c s1 south
cat >"$WORK/instances.json" <<LIST
{"revision": 1, "entries": [
 {"name": "a", "kind": "instance", "state": "live",
  "address": "127.0.0.1:$PEERS_OF_a", "data_centre": "n1", "region": "north"},
 {"name": "b", "kind": "instance", "state": "live",
  "address": "127.0.0.1:$PEERS_OF_b", "data_centre": "n1", "region": "north"},
 {"name": "c", "kind": "instance", "state": "live",
  "address": "127.0.0.1:$PEERS_OF_c", "data_centre": "s1", "region": "south"},
 {"name": "e1", "kind": "engine", "state": "live",
  "address": "127.0.0.1:$PORT_OF_e1", "data_centre": "n1", "region": "north",
  "serves": ["blade-8b"], "generation": "g1", "slots": 8, "tokens": 32768},
 {"name": "e2", "kind": "engine", "state": "live",
  "address": "127.0.0.1:$PORT_OF_e2", "data_centre": "s1", "region": "south",
  "serves": ["blade-8b"], "generation": "g1", "slots": 8, "tokens": 32768},
 {"name": "bookings", "kind": "service", "state": "live",
  "address": "127.0.0.1:$PORT_OF_bookings", "data_centre": "n1",
  "region": "north", "serves": ["bookings"], "slots": 8}]}
LIST
publish sheet "$ROOT/examples/demo/sheet.yaml"
publish instances "$WORK/instances.json"
for name in a b c; do start_daemon "$name"; done
for name in a b c; do wait_ready "$name"; done
say "Three instances, a and b in n1 and c in s1, are ready."

echo "A streamed chat completion through a"
call a /v1/chat/completions -H 'Authorization: Bearer demo-vans' \
    -d '{"model":"blade-8b","stream":true,"max_tokens":12,
         "messages":[{"role":"user","content":"Which grit for a cleaver?"}]}'
WORDS=$(grep -c '"content":"' "$WORK/answer" || true)
ENDS=$(grep -c '^data: \[DONE\]' "$WORK/answer" || true)
expect "$STATUS" 200 "status of the stream"
expect "$WORDS" 12 "words in the stream"
expect "$ENDS" 1 "end of the stream"
say "The answer came as $WORDS events with a word each; $ENDS end marker."

echo "A route lookup through b"
call b /services/bookings/routes/7 -H 'Authorization: Bearer demo-vans'
expect "$STATUS" 200 "status of the lookup"
expect "$OUTCOME" ran "outcome of the lookup"
say "Status $STATUS, outcome '$OUTCOME'."

echo "A booking through a"
call a /services/bookings/visits -H 'Authorization: Bearer demo-cafe' \
    -H 'Idempotency-Key: demo-visit-1' -d '{"visit":"Tuesday 9:00"}'
FIRST_RUN=$(field run)
expect "$STATUS" 200 "status of the booking"
expect "$OUTCOME" ran "outcome of the booking"
expect "$(count_runs)" 1 "runs of the booking"
say "Status $STATUS, outcome '$OUTCOME'; the service lists $(count_runs) run \
of this booking."

echo "The same booking again through c"
call c /services/bookings/visits -H 'Authorization: Bearer demo-cafe' \
    -H 'Idempotency-Key: demo-visit-1' -d '{"visit":"Tuesday 9:00"}'
expect "$STATUS" 200 "status of the repeat"
expect "$OUTCOME" ran "outcome of the repeat"
expect "$(field run)" "$FIRST_RUN" "run that the repeat was answered from"
expect "$(count_runs)" 1 "runs of the booking after the repeat"
say "Status $STATUS, outcome '$OUTCOME', the answer of run $(field run); the \
service still lists $(count_runs) run."

echo "The daily report"
CODE=0
"$BIN/boragespur" evening --platform "http://127.0.0.1:$PORT_OF_platform" \
    "127.0.0.1:$ADMIN_OF_a,127.0.0.1:$ADMIN_OF_b,127.0.0.1:$ADMIN_OF_c" |
    sed 's/^/    /' || CODE=$?
expect "$CODE" 0 "verdict of the daily report"

echo "Stopping"
for pid in "${PIDS[@]:4}"; do kill "$pid"; done
STOPPED=0
for pid in "${PIDS[@]:4}"; do
    CODE=0
    wait "$pid" || CODE=$?
    expect "$CODE" 0 "exit code of an instance"
    [ "$CODE" -ne 0 ] || STOPPED=$((STOPPED + 1))
done
say "$STOPPED of 3 instances ended with exit code 0 when asked to stop."
if [ "$FAILURES" -ne 0 ]; then
    echo "$FAILURES checks failed."
    exit 1
fi
echo "Everything was as it should be."
