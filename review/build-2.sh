#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for number in 6 7 8 9 10; do
    if [ -f "review/$number/case.c" ]; then
        cc -std=gnu11 -O1 -Wall -Wextra -pthread \
            -o "target/review/case-$number" "review/$number/case.c" \
            review/standin/standin.c
    fi
done
