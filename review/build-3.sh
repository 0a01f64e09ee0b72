#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases with the JDK and the libraries that the build of the deploy file has placed
# under target/entry. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp 'target/entry/*' review/standins-3/*.java
