#!/bin/bash
# Plays the case and writes record.txt beside this file. It exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rosemaryd ] && [ -x target/review/standin-3 ] || exit 2
exec target/review/standin-3 -case synchronous -record "review/12/record.txt"
