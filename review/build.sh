#!/usr/bin/env bash
# Builds the stand-ins and the clients of the scripts into target/review. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -cp "target/node/lib/*" -d target/review review/common/*.java
