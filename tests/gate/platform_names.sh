#!/usr/bin/env bash
# platform_names.sh ROOT: fails when a file outside platform/ uses a name of
# the platform's wire.  Tests and deploy files may: they play the platform.
set -u
cd "$1" || exit 2
names='Request-Id|Deadline-Ms|Prompt-Prefix|Last-Event-Id|Response-Signature'
names="$names|Expect-Instance|Not-Executed|Served-By|Cold-Ms|Token-Usage"
names="$names|Weight-Versions|Expect-Version|Pin-Ms|Kv-Hold|Kv-From|Kv-Fetch"
names="$names|Kv-Backup|Length-Hint|Api-Key|kv-(key|range|watch|events|list)"
names="$names|op/config|op/evacuate|servers/|current-rev|more-pages|stale-ok"
names="$names|route-type|max-attempts|allowed-regions|target-latency|api-keys"
names="$names|\"Resumes\"|rate-per-s|plain-tokens|token_stream|cold-remaining|gap-aim"
# The product's own headers begin with its name.
if grep -rnE "$names" --include='*.c' --include='*.h' src |
    grep -v 'Boragespur-'; then
    echo "names of the platform outside platform/"
    exit 1
fi
