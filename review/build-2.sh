#!/usr/bin/env bash
# Builds the stand-ins of the second review. Needs the JDK only, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
