#!/usr/bin/env bash
# log_fields.sh ROOT: fails when the fields and events that gateways write
# differ from the list in docs/OPERATIONS.md, in either direction.
set -u
cd "$1" || exit 2
code=$(mktemp) && page=$(mktemp) || exit 2
trap 'rm -f "$code" "$page"' EXIT

# compare WHAT: says what only one of the two lists holds.
compare() {
    sort -u -o "$code" "$code"
    sort -u -o "$page" "$page"
    if ! [ -s "$code" ] || ! cmp -s "$code" "$page"; then
        echo "$1: < only in the code, > only in docs/OPERATIONS.md"
        diff "$code" "$page"
        exit 1
    fi
}

# list HEADING: the names in the first column of the table below it.
list() {
    sed -n "/^### $1\$/,/^##/p" docs/OPERATIONS.md | grep '^| `' |
        cut -d'|' -f2 | grep -o '`[^`]*`' | tr -d '`'
}

joined() { cat src/*.c platform/*.c | tr '\n' ' '; }

joined | grep -oE 'BsEventLog_(Text|Number)\([^,]*, *"[a-z_]+"' |
    grep -oE '"[a-z_]+"' | tr -d '"' >"$code"
printf 'ms\nwall_ms\nevent\n' >>"$code"
list 'Fields' >"$page"
compare fields

calls='BsEventLog_Begin|BsRelay_Log(Attempt)?|S_log_start|S_start_line'
joined | grep -oE "($calls)\([^;{]*" |
    grep -oE '(BS_EVENT_[A-Z]+|&gateway|\(log), *([a-z]+ \? )?"[a-z_]+"( : "[a-z_]+")?' |
    grep -oE '"[a-z_]+"' | tr -d '"' >"$code"
list 'Events' >"$page"
compare events
