#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. With TROUBLE=0 it does the same without the disruption (Run.isTrouble reads it).
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.."
exec java -Xmx256m -cp target/review-2 GoneCase "$PWD" "review/7/record.txt"
