#!/usr/bin/env bash
# Builds the stand-ins and the clients of the scripts into target/review, and for case 2 the router of an earlier
# landing from the repository's history. Needs the build of the deploy file, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -cp "target/node/lib/*" -d target/review review/common/*.java
earlier=ccd7298
src=target/review/earlier-source
if ! git cat-file -e "$earlier^{commit}" 2>/dev/null; then
  echo "review: the history lacks $earlier, so case 2 cannot run" >&2
  exit 0
fi
rm -rf "$src" target/review/earlier
mkdir -p "$src" target/review/earlier
git archive "$earlier" gooseberryhook-core/src/main gooseberryhook-router/src/main platform/src/main | tar -x -C "$src"
libraries=$(find target/node/lib -name '*.jar' ! -name 'gooseberryhook*' -printf '%p:')
javac -nowarn -encoding UTF-8 -implicit:class -cp "$libraries" \
  -sourcepath "$src/gooseberryhook-core/src/main/java:$src/gooseberryhook-router/src/main/java:$src/platform/src/main/java" \
  -d target/review/earlier "$src/platform/src/main/java/org/gooseberryhook/platform/Main.java" 2>target/review/earlier.log
rm -rf "$src"
