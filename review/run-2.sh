#!/usr/bin/env bash
# Runs a case of the second review: run-2.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
if [ ! -f target/entry/trefoilpost-platform.jar ] || [ ! -f target/review-2/Case.class ]; then
    echo "build first: bash deploy/build && bash review/build-2.sh" >&2
    exit 2
fi
timeout 115 java -cp target/review-2 Case "$1" "$PWD" "review/$2/record.txt" "${SEED:-1}"
result=$?
[ $result -le 1 ] && exit $result
exit 2
