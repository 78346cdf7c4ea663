#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.c; do
    number=$(basename "$(dirname "$source")")
    cc -std=gnu11 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" \
        "$source" review/standin/standin.c review/standin/runner.c
done
