#!/bin/bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it
# couldn't run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-standin || { echo "run review/build.sh first"; exit 2; }
exec target/review-standin small-zone review/5/record.txt
