#!/usr/bin/env bash
# Builds the stand-ins and the cases' programs. Needs the JDK and the libraries that the deploy file's build has put under target/entry.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! ls target/entry/jackson-databind-*.jar > /dev/null 2>&1; then
    echo "run the build of the deploy file first" >&2
    exit 2
fi
rm -rf target/review
mkdir -p target/review
javac -nowarn -cp "target/entry/*" -d target/review review/standins/*.java
