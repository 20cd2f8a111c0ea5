#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the JDK only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/stand-ins-2/*.java
